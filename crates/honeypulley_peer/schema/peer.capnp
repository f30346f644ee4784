@0xd1f5a4c09b7e2c33;

# One datagram. The message is followed by its authentication tag, the first sixteen bytes of a
# keyed BLAKE3 digest.
struct Datagram {
  sender @0 :UInt64;
  union {
    ask :group {
      nonce @1 :UInt64;
    }
    tell :group {
      tellNonce @2 :UInt64;
      bundle @3 :UInt64;
      permits @4 :UInt64;
      permitsEpoch @37 :UInt64;
      confirmed @5 :Bool;
      ageMs @6 :UInt32;
    }
    rumour :group {
      rumourBundle @7 :UInt64;
    }
    report :group {
      reportService @8 :UInt64;
      items @9 :List(Item);
    }
    verdict :group {
      verdictService @10 :UInt64;
      upstream @11 :UInt64;
      judgement @12 :Judgement;
      holdMs @13 :UInt32;
      witnesses @14 :UInt16;
    }
    # Introduces a sender that has just started or does not know the receiver; answered by a book.
    hello :group {
      helloHall @15 :Text;
      # Whether the answer lists all boxes that the receiver knows, or the receiver alone.
      wantsBook @16 :Bool;
      # Whether the receiver is to send its beliefs about upstreams, for a box that has just
      # started.
      wantsBeliefs @34 :Bool;
      # Port on which the sender accepts relayed requests; zero if it accepts none.
      helloRelayPort @49 :UInt16;
      # Whether the sender's link is fast enough to serve many boxes at a time.
      helloFastLink @50 :Bool;
    }
    # Boxes that the sender knows.
    book :group {
      boxes @17 :List(BoxAddress);
    }
    # Periodic report of the versions that the sender has and its role as reader.
    beacon :group {
      tableVersion @18 :UInt64;
      listVersion @19 :UInt64;
      listEpoch @38 :UInt64;
      # The newest epoch of the platform that the sender knows of.
      epoch @39 :UInt64;
      # Whether the sender detected a restore of the platform within the last 15 s, so that stale
      # reads may predate the restore.
      restored @43 :Bool;
      reader @20 :Bool;
      # Milliseconds since the platform last answered the sender.
      readAgeMs @21 :UInt32;
      # Milliseconds since the sender's list was last known to be complete.
      listAgeMs @28 :UInt32;
      # Whether the sender's calls to the platform fail.
      unable @33 :Bool;
      # Revision, in the epoch of the list, at which the sender's list equals the platform's, and a
      # digest of the entries that it lists then. Zero if the sender's list holds newer changes.
      readUpto @44 :UInt64;
      listDigest @45 :UInt64;
    }
    news :group {
      seen @22 :List(NewsItem);
      # Sequence number of the sender, since the datagram may arrive by several paths.
      seq @26 :UInt32;
    }
    # Changes of the list of upstreams.
    changes :group {
      since @23 :UInt64;
      upto @24 :UInt64;
      sinceEpoch @40 :UInt64;
      uptoEpoch @41 :UInt64;
      entries @25 :List(Entry);
      # Index of this fragment, starting at zero, and number of fragments.
      part @29 :UInt16;
      parts @30 :UInt16;
      # Milliseconds since the sender's list was last known to be complete.
      toldAgeMs @31 :UInt32;
    }
    # Requests the changes after a version.
    want :group {
      after @32 :UInt64;
      afterEpoch @42 :UInt64;
    }
    # Data halls whose upstreams get no new requests, as of a revision of the platform.
    evacuations :group {
      evacuatedHalls @46 :List(Text);
      evacuatedUpto @47 :UInt64;
      evacuatedEpoch @48 :UInt64;
    }
    # A sealed datagram that the receiver forwards unchanged within its data hall.
    forward @27 :Data;
    # Updates about requests during which upstreams crashed.
    requests :group {
      requestItems @35 :List(RequestItem);
      # Sequence number of the sender, shared with news.
      requestsSeq @36 :UInt32;
    }
  }

  struct BoxAddress {
    id @0 :UInt64;
    ip @1 :UInt32;
    port @2 :UInt16;
    hall @3 :Text;
    # Port on which the box accepts relayed requests; zero if it accepts none or is not known.
    relayPort @4 :UInt16;
    # Whether the box's link is known to be fast enough to serve many boxes at a time.
    fastLink @5 :Bool;
  }

  struct NewsItem {
    subject @0 :UInt64;
    kind @1 :NewsKind;
    # For open and ended: the sender's attempts in flight at the upstream. For retry and denied:
    # requests that the sender received within the window. For belief: the two phase probabilities
    # in steps of 1/255, the first in the upper eight bits.
    count @2 :UInt16;
    # For ended: whether the attempt was answered successfully.
    served @3 :Bool;
    # For ended: requests of other data halls at the upstream, plus one; zero if the upstream
    # reported no load. For retry and denied: the sender's retries within the window.
    far @4 :UInt8;
    # For ended: milliseconds since the end of the attempt.
    agoMs @5 :UInt16;
    # For hallAdmitted: the data hall, and its admissions within the last fifth of the window.
    hall @6 :UInt64;
    latest @7 :UInt16;
    # For hallAdmitted: the subject's remaining tokens, as estimated by the sender.
    level @8 :Int16;
    # For limit: requests per second; zero if the upstream withdrew its limit.
    rate @9 :Float32;
  }

  enum NewsKind {
    success @0;
    failure @1;
    refused @2;
    unreachable @3;
    overdue @4;
    shed @5;
    open @6;
    retry @7;
    well @8;
    failedWork @9;
    belief @10;
    hung @11;
    denied @12;
    # Count: retries of all boxes within the window.
    spent @13;
    ended @14;
    # Count: the subject's requests that the sender admitted since its start, modulo 2^16.
    admitted @15;
    # Count: the subject's requests that a data hall admitted, as counted by the sender, modulo
    # 2^16.
    hallAdmitted @16;
    # An upstream advertised or withdrew a rate limit for the whole fleet.
    limit @17;
    # An upstream announced its shutdown.
    leaving @18;
    # Another instance answered at the address of an upstream, which is gone.
    replaced @19;
    # The sender lost its paths to all upstreams of a service (count 1), or has one again (count 0).
    partitioned @20;
    # Count: the admission level of a service at the sender, in thousandths.
    pressure @21;
    # For newly started boxes. Far: episodes of hanging of an upstream that the sender knows of.
    # Count: seconds of its processing time over which they were counted.
    hazard @22;
  }

  struct RequestItem {
    # Fingerprint of the request: a keyed digest of its caller and content, or of its content alone.
    request @0 :UInt64;
    content @1 :Bool;
    kind @2 :RequestKind;
    # For ended: the upstream that crashed.
    upstream @3 :UInt64;
    # For ended: milliseconds since the request was sent to the upstream.
    beganMs @4 :UInt32;
    # For ended and served: milliseconds since the crash or the answer. For held: milliseconds until
    # the hold expires.
    spanMs @5 :UInt32;
    # For held: number of trials after which the request was held again.
    trials @6 :UInt8;
  }

  enum RequestKind {
    ended @0;
    served @1;
    held @2;
  }

  struct Entry {
    name @0 :Text;
    version @1 :UInt64;
    # Whether the entry was deleted; the fields that describe the upstream are then empty.
    gone @2 :Bool;
    # For a deleted entry: milliseconds to wait for its return before the upstream counts as gone.
    holdMs @3 :UInt32;
    service @4 :Text;
    addr @5 :Text;
    hall @6 :Text;
    leaving @7 :Bool;
    slots @8 :UInt16;
    coldMs @9 :UInt32;
    # Start time of the upstream in milliseconds since the Unix epoch; zero if unknown.
    born @10 :UInt64;
    # Epoch of the platform that the version belongs to.
    epoch @11 :UInt64;
  }

  struct Item {
    upstream @0 :UInt64;
    good @1 :UInt16;
    bad @2 :UInt16;
  }

  enum Judgement {
    suspect @0;
    probation @1;
    clear @2;
  }
}

# Entries of one page of a list.
struct ListEntries {
  entries @0 :List(Datagram.Entry);
}

# Addresses of one page of an address book.
struct BoxEntries {
  boxes @0 :List(Datagram.BoxAddress);
}

# Bootstrap interface of a connection. A login with a keyed digest of the challenge returns the
# authenticated interface.
interface Gate {
  challenge @0 () -> (nonce :Data);
  login @1 (proof :Data) -> (peer :Peer);
}

interface Peer {
  # The head of the newest accepted bundle as JSON, empty if there is none.
  head @0 () -> (json :Data);
  # The manifest of the newest accepted bundle. If `have` is the digest of a manifest that the box
  # still remembers, only the changes from that manifest are returned, otherwise the full manifest.
  manifest @1 (have :Data) -> (full :Data, changes :List(Change));
  # Parts by digest; a part that the box lacks is empty.
  parts @2 (digests :List(Data)) -> (parts :List(Data));
  # All permits as JSON, with their version and the age of their last confirmation.
  permits @3 () -> (version :UInt64, confirmed :Bool, ageMs :UInt32, json :Data, epoch :UInt64);
  # Status of the box for operators, as JSON.
  status @4 () -> (json :Data);
  # The platform's roster as last received, as JSON; empty if it never was.
  roster @5 () -> (json :Data);
  # The routing table in the platform's encoding, and the revision of its object. The answer is
  # delayed by up to `waitMs` until the box has a table of at least `number`.
  table @6 (number :UInt64, waitMs :UInt32) -> (version :UInt64, value :Data, epoch :UInt64);
  # Entries of the list of upstreams, and the version up to which the list is complete: those that
  # changed after a version if the answer is `partial`, otherwise all of them. The version is zero
  # if the box has nothing newer.
  upstreams @7 (after :UInt64, afterEpoch :UInt64) -> (version :UInt64,
      entries :List(Datagram.Entry), epoch :UInt64, partial :Bool, since :UInt64,
      sinceEpoch :UInt64);
  # One page of the list of upstreams, in the order of their names: the entries after the name
  # `after`, all of them complete up to the version. Not `found` if the box has no list, or no
  # capacity for a transfer. The entries are a `ListEntries` message, compressed by LZ4 and
  # preceded by its length in four bytes, least significant first.
  listPage @8 (after :Text) -> (found :Bool, version :UInt64, epoch :UInt64, stale :Bool,
      more :Bool, entries :Data);
  # One page of the addresses of all boxes that the box knows, in the order of ids: those after the
  # id `after`. Not `found` if the box does not know the fleet yet (not `known`), or has no capacity
  # for a transfer; a few random addresses are then returned uncompressed as `sample`. The boxes are
  # a `BoxEntries` message, compressed like those of `listPage`.
  boxPage @9 (after :UInt64) -> (found :Bool, known :Bool, more :Bool, boxes :Data,
      sample :List(Datagram.BoxAddress));

  struct Change {
    bucket @0 :UInt32;
    digest @1 :Data;
  }
}
