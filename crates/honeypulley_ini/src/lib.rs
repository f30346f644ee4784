//! INI parser whose errors report file, line and key.
//!
//! ```
//! use honeypulley_ini::{Doc, parse};
//!
//! let doc = Doc::read("box.ini", "[box]\nwait = 2s\n")?;
//! let section = doc.section("box")?;
//! let wait = section.required("wait", parse::duration)?;
//! section.only(&["wait"])?;
//! assert_eq!(wait.as_secs(), 2);
//! # Ok::<(), honeypulley_ini::IniError>(())
//! ```

pub mod parse;

use ini::{Ini, ParseOption, Properties};

/// An error in an INI file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {place}{what}")]
pub struct IniError {
    /// File name as given by the user.
    pub file: String,
    /// Line number, starting at one.
    pub line: usize,
    /// Section and key as printed, including the separator, or empty.
    pub place: String,
    /// Description of the error.
    pub what: String,
}

/// A parsed INI file that keeps its text to report line numbers.
#[derive(Clone, Debug)]
pub struct Doc {
    file: String,
    text: String,
    ini: Ini,
}

impl Doc {
    /// Parses `text`, named `file` in errors.
    ///
    /// # Errors
    /// Returns an error for the first line that is malformed, a duplicate or outside of any section.
    pub fn read(file: &str, text: &str) -> Result<Self, IniError> {
        let opt =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, opt).map_err(|e| IniError {
            file: file.to_owned(),
            line: e.line,
            place: String::new(),
            what: e.msg.to_string(),
        })?;
        let doc = Self { file: file.to_owned(), text: text.to_owned(), ini };
        doc.check_duplicates()?;
        Ok(doc)
    }

    /// Returns the section `name`.
    ///
    /// # Errors
    /// Returns an error if the section is missing.
    pub fn section(&self, name: &str) -> Result<Section<'_>, IniError> {
        self.optional(name).ok_or_else(|| IniError {
            file: self.file.clone(),
            line: 1,
            place: format!("[{name}]: "),
            what: "this section is missing".to_owned(),
        })
    }

    /// Returns the section `name`, if it is present.
    #[must_use]
    pub fn optional(&self, name: &str) -> Option<Section<'_>> {
        let props = self.ini.section(Some(name))?;
        Some(Section { doc: self, name: name.to_owned(), props })
    }

    /// Returns all sections in file order.
    pub fn sections(&self) -> impl Iterator<Item = Section<'_>> {
        self.ini
            .iter()
            .filter_map(|(name, props)| Some(Section { doc: self, name: name?.to_owned(), props }))
    }

    /// Rejects duplicate sections and keys, which the INI parser accepts.
    fn check_duplicates(&self) -> Result<(), IniError> {
        let (mut current, mut seen) = (String::new(), std::collections::HashSet::new());
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let error = |place: String, what: &str| IniError {
                file: self.file.clone(),
                line: i + 1,
                place,
                what: what.to_owned(),
            };
            if let Some(name) = section_name(line) {
                name.clone_into(&mut current);
                if !seen.insert((current.clone(), None)) {
                    return Err(error(format!("[{current}]: "), "duplicate section"));
                }
            } else if let Some(key) = key_name(line) {
                if current.is_empty() {
                    return Err(error(format!("{key}: "), "this key is outside of any section"));
                }
                if !seen.insert((current.clone(), Some(key.to_owned()))) {
                    return Err(error(format!("[{current}] {key}: "), "duplicate key"));
                }
            }
        }
        Ok(())
    }

    /// Returns the line of a key, else of its section header, else the first line.
    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let (mut in_section, mut header) = (false, 1);
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = section_name(line) {
                in_section = name == section;
                if in_section {
                    header = i + 1;
                }
            } else if in_section && key.is_some() && key_name(line) == key {
                return i + 1;
            }
        }
        header
    }
}

fn section_name(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?;
    Some(inner[..inner.find(']')?].trim())
}

fn key_name(line: &str) -> Option<&str> {
    if line.starts_with([';', '#']) {
        return None;
    }
    line.find(['=', ':']).map(|i| line[..i].trim())
}

/// One section of a [`Doc`].
#[derive(Clone, Debug)]
pub struct Section<'a> {
    doc: &'a Doc,
    name: String,
    props: &'a Properties,
}

impl Section<'_> {
    /// Returns the name of the section.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns keys and values in file order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.props.iter()
    }

    /// Parses the value of a required key.
    ///
    /// # Errors
    /// Returns an error if the key is missing or `parse` rejects its value.
    pub fn required<T>(
        &self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Result<T, IniError> {
        let value = self.props.get(key).ok_or_else(|| self.error(key, "this key is missing"))?;
        parse(value.trim()).map_err(|what| self.error(key, what))
    }

    /// Parses the value of an optional key.
    ///
    /// # Errors
    /// Returns an error if the key is present and `parse` rejects its value.
    pub fn optional<T>(
        &self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Result<Option<T>, IniError> {
        if self.props.get(key).is_none() {
            return Ok(None);
        }
        self.required(key, parse).map(Some)
    }

    /// Checks that the section has no keys other than `known`.
    ///
    /// # Errors
    /// Returns an error at the first unknown key.
    pub fn only(&self, known: &[&str]) -> Result<(), IniError> {
        match self.props.iter().find(|(k, _)| !known.contains(k)) {
            Some((k, _)) => Err(self.error(k, format!("unknown key; known: {}", known.join(", ")))),
            None => Ok(()),
        }
    }

    /// Creates an error at `key` of this section.
    pub fn error(&self, key: &str, what: impl Into<String>) -> IniError {
        IniError {
            file: self.doc.file.clone(),
            line: self.doc.line_of(&self.name, Some(key)),
            place: format!("[{}] {key}: ", self.name),
            what: what.into(),
        }
    }

    /// Creates an error at the header of this section.
    pub fn error_here(&self, what: impl Into<String>) -> IniError {
        IniError {
            file: self.doc.file.clone(),
            line: self.doc.line_of(&self.name, None),
            place: format!("[{}]: ", self.name),
            what: what.into(),
        }
    }
}
