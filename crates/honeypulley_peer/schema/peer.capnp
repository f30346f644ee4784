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
  permits @3 () -> (version :UInt64, confirmed :Bool, ageMs :UInt32, json :Data);
  # What an operator sees of this box, as JSON.
  status @4 () -> (json :Data);
  # The platform's list as this box last saw it, as JSON, empty if it never did.
  roster @5 () -> (json :Data);

  struct Change {
    bucket @0 :UInt32;
    digest @1 :Data;
  }
}
