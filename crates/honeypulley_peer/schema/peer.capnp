@0xd1f5a4c09b7e2c33;

# One datagram. A keyed BLAKE3 digest of sixteen bytes follows the message.
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
    # The sender is new, or does not know the receiver; the answer is a book.
    hello :group {
      helloHall @15 :Text;
      # Asks for all boxes that the receiver knows; else for the receiver alone.
      wantsBook @16 :Bool;
      # The sender has just started and asks what others believe of upstreams.
      wantsBeliefs @34 :Bool;
    }
    # Boxes that the sender knows.
    book :group {
      boxes @17 :List(BoxAddress);
    }
    # What the sender has, and whether it reads the platform itself.
    beacon :group {
      tableVersion @18 :UInt64;
      listVersion @19 :UInt64;
      listEpoch @38 :UInt64;
      # The newest epoch of the platform that the sender knows of.
      epoch @39 :UInt64;
      # The platform was restored in the last seconds: old answers may be from before.
      restored @43 :Bool;
      reader @20 :Bool;
      # Milliseconds since the platform last answered the sender.
      readAgeMs @21 :UInt32;
      # Milliseconds since the sender's list was last known to be complete.
      listAgeMs @28 :UInt32;
      # The platform fails the sender's calls.
      unable @33 :Bool;
    }
    news :group {
      seen @22 :List(NewsItem);
      # Number of this news at its sender, since it may come by several ways.
      seq @26 :UInt32;
    }
    # Changes of the list of upstreams.
    changes :group {
      since @23 :UInt64;
      upto @24 :UInt64;
      sinceEpoch @40 :UInt64;
      uptoEpoch @41 :UInt64;
      entries @25 :List(Entry);
      # Which part of the changes this is, and how many there are.
      part @29 :UInt16;
      parts @30 :UInt16;
      # Milliseconds since the sender's list was last known to be complete.
      toldAgeMs @31 :UInt32;
    }
    # Asks for the changes after a version.
    want :group {
      after @32 :UInt64;
      afterEpoch @42 :UInt64;
    }
    # A sealed datagram to be sent on to the receiver's data hall, as it is.
    forward @27 :Data;
    # What the sender knows of requests under which upstreams ended.
    requests :group {
      requestItems @35 :List(RequestItem);
      # Number of this news at its sender, of the same row as those of news.
      requestsSeq @36 :UInt32;
    }
  }

  struct BoxAddress {
    id @0 :UInt64;
    ip @1 :UInt32;
    port @2 :UInt16;
    hall @3 :Text;
  }

  struct NewsItem {
    subject @0 :UInt64;
    kind @1 :NewsKind;
    # Attempts open there; of a retry or a denied one, requests within the window; of a belief, 255ths: the first phase in the upper eight bits.
    count @2 :UInt16;
    # Of an attempt that ended: whether it was answered well.
    served @3 :Bool;
    # Requests of other data halls there and one more; zero if nothing was reported. Of a
    # retry or a denied one, the sender's extra sends within the window.
    far @4 :UInt8;
    # Of an attempt that ended: milliseconds since.
    agoMs @5 :UInt16;
    # Of what a data hall admitted: which hall, and the requests of the window's last fifth.
    hall @6 :UInt64;
    latest @7 :UInt16;
    # Of the same, what is left of the subject's burst.
    level @8 :Int16;
    # Of a limit that an upstream names, requests a second; zero if it names none any more.
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
    # Count is the extra sends of all boxes within the window.
    spent @13;
    ended @14;
    # Count is the requests of a subject with a limit that the sender admitted since it started.
    admitted @15;
    # Count is the requests of such a subject that a data hall admitted, as the sender counts.
    hallAdmitted @16;
    # An upstream names a limit over all boxes, or none any more.
    limit @17;
    # An upstream announced its shutdown.
    leaving @18;
  }

  struct RequestItem {
    # Keyed digest of the request, with its caller or of its content alone.
    request @0 :UInt64;
    content @1 :Bool;
    kind @2 :RequestKind;
    # The upstream that ended.
    upstream @3 :UInt64;
    # Milliseconds since the request was sent to it.
    beganMs @4 :UInt32;
    # Milliseconds since the end or the answer; of a hold, until it lapses.
    spanMs @5 :UInt32;
    # Of a hold: trials after which it was held again.
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
    # Gone from the list; the rest is empty then.
    gone @2 :Bool;
    # Milliseconds to wait for it to come back before it is taken for gone.
    holdMs @3 :UInt32;
    service @4 :Text;
    addr @5 :Text;
    hall @6 :Text;
    leaving @7 :Bool;
    slots @8 :UInt16;
    coldMs @9 :UInt32;
    # Milliseconds since 1970 at which it started; zero if it does not say.
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

# First object of a connection. The peer is given out against a keyed digest
# of the challenge.
interface Gate {
  challenge @0 () -> (nonce :Data);
  login @1 (proof :Data) -> (peer :Peer);
}

interface Peer {
  # The head in force, as JSON, empty if there is none.
  head @0 () -> (json :Data);
  # The manifest in force. Against one that the caller has, by digest, only the
  # changes are given if that one is still remembered; else it is given in full.
  manifest @1 (have :Data) -> (full :Data, changes :List(Change));
  # Parts by digest; one that is not held is empty.
  parts @2 (digests :List(Data)) -> (parts :List(Data));
  # All permits as JSON with their version and the age of its confirmation.
  permits @3 () -> (version :UInt64, confirmed :Bool, ageMs :UInt32, json :Data, epoch :UInt64);
  # What an operator sees of this box, as JSON.
  status @4 () -> (json :Data);
  # The platform's list as this box last saw it, as JSON, empty if it never did.
  roster @5 () -> (json :Data);
  # The routing table as the platform holds it, and the version of the platform. Waits so
  # long for one of at least that number.
  table @6 (number :UInt64, waitMs :UInt32) -> (version :UInt64, value :Data, epoch :UInt64);
  # Every entry of the list of upstreams, and the version it is complete up to.
  upstreams @7 () -> (version :UInt64, entries :List(Datagram.Entry), epoch :UInt64);

  struct Change {
    bucket @0 :UInt32;
    digest @1 :Data;
  }
}
