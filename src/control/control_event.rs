use crate::event::event_codes;

event_codes! {
    /// Events of the control replicas, 1000 to 1999.
    pub(crate) enum ControlEvent {
        Started = 1001 => "control replica started",
        Stopped = 1002 => "control replica stopped",
        LeasesTaken = 1010 => "leading: every registered target got a full lease",
        LeasesResigned = 1011 => "no longer leading: leases are kept elsewhere",
        LeasesExpired = 1012 => "leases ran out; the targets are taken out",
        LeasesHeld = 1013 => "most targets of a service are silent; kept until decided again",
        ExpiryRefused = 1014 => "leases ran out, but the group could not commit it",
        TornTailCut = 1101 => "torn end of the log cut off",
        LinkUp = 1110 => "connected to another replica",
        LinkDown = 1111 => "connection to another replica failed",
        LinkRefused = 1112 => "connection of another replica refused",
    }
}
