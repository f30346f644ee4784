//! Checked INI reading: every error names file, line and key.
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

/// What was wrong with an INI file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {place}{what}")]
pub struct IniError {
    /// File name as the user gave it.
    pub file: String,
    /// Line, from one.
    pub line: usize,
    /// Section and key, ready to print, or empty.
    pub place: String,
    /// What was wrong.
    pub what: String,
}

/// A parsed INI file that knows its lines.
#[derive(Clone, Debug)]
pub struct Doc {
    file: String,
    text: String,
    ini: Ini,
}

impl Doc {
    /// Parses `text`, calling it `file` in errors.
    ///
    /// # Errors
    /// Returns the first malformed, repeated or stray line.
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
        doc.check_repeats()?;
        Ok(doc)
    }

    /// Returns the one section called `name`.
    ///
    /// # Errors
    /// Returns an error if it is missing.
    pub fn section(&self, name: &str) -> Result<Section<'_>, IniError> {
        self.optional(name).ok_or_else(|| IniError {
            file: self.file.clone(),
            line: 1,
            place: format!("[{name}]: "),
            what: "this section is missing".to_owned(),
        })
    }

    /// Returns the section called `name`, if it is there.
    #[must_use]
    pub fn optional(&self, name: &str) -> Option<Section<'_>> {
        let props = self.ini.section(Some(name))?;
        Some(Section { doc: self, name: name.to_owned(), props })
    }

    /// Returns every section in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = Section<'_>> {
        self.ini
            .iter()
            .filter_map(|(name, props)| Some(Section { doc: self, name: name?.to_owned(), props }))
    }

    fn check_repeats(&self) -> Result<(), IniError> {
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
                    return Err(error(format!("[{current}]: "), "this section stands twice"));
                }
            } else if let Some(key) = key_name(line) {
                if current.is_empty() {
                    return Err(error(format!("{key}: "), "this key stands before any section"));
                }
                if !seen.insert((current.clone(), Some(key.to_owned()))) {
                    return Err(error(format!("[{current}] {key}: "), "this key stands twice"));
                }
            }
        }
        Ok(())
    }

    /// Finds the line of a section, or of a key in it; the first line if unknown.
    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let (mut inside, mut header) = (false, 1);
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = section_name(line) {
                inside = name == section;
                if inside {
                    header = i + 1;
                }
            } else if inside && key.is_some() && key_name(line) == key {
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
    /// Returns the section's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns keys and values in the order of the file.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.props.iter()
    }

    /// Reads a key that must be there.
    ///
    /// # Errors
    /// Returns an error if it is missing or `parse` refuses it.
    pub fn required<T>(
        &self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Result<T, IniError> {
        let value = self.props.get(key).ok_or_else(|| self.error(key, "this key is missing"))?;
        parse(value.trim()).map_err(|what| self.error(key, what))
    }

    /// Reads a key that may be left out.
    ///
    /// # Errors
    /// Returns an error if it is there and `parse` refuses it.
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

    /// Checks that no key but `known` stands here.
    ///
    /// # Errors
    /// Names the first unknown key.
    pub fn only(&self, known: &[&str]) -> Result<(), IniError> {
        match self.props.iter().find(|(k, _)| !known.contains(k)) {
            Some((k, _)) => Err(self.error(k, format!("unknown key; known: {}", known.join(", ")))),
            None => Ok(()),
        }
    }

    /// Builds an error at `key` of this section.
    pub fn error(&self, key: &str, what: impl Into<String>) -> IniError {
        IniError {
            file: self.doc.file.clone(),
            line: self.doc.line_of(&self.name, Some(key)),
            place: format!("[{}] {key}: ", self.name),
            what: what.into(),
        }
    }

    /// Builds an error at the head of this section.
    pub fn error_here(&self, what: impl Into<String>) -> IniError {
        IniError {
            file: self.doc.file.clone(),
            line: self.doc.line_of(&self.name, None),
            place: format!("[{}]: ", self.name),
            what: what.into(),
        }
    }
}
