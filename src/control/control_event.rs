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
        LinkListening = 1113 => "listening for other replicas",
        GroupFormed = 1120 => "control group formed",
        LeaderElected = 1121 => "this replica leads",
        LeaderDeposed = 1122 => "this replica no longer leads: a newer term began",
        QuorumLost = 1123 => "this replica no longer leads: no majority answers, nothing is accepted",
        LearnerAdded = 1124 => "new data folder receives the log and does not count yet",
        VoterRemoved = 1125 => "replaced data folder no longer counts",
        RepairDone = 1126 => "new data folder holds everything and counts",
        CommittedConflict = 1128 => "a leader wants to replace a committed entry; it is not followed",
        ForeignGroup = 1127 => "messages of a replica of another group are dropped",
        ReplicaFailed = 1102 => "replica stopped: its log can not go on",
        DiskRefused = 1103 => "disk refused; it is tried again, nothing is acknowledged meanwhile",
        DiskRecovered = 1104 => "disk takes writes again",
        FolderDiscarded = 1105 => "damaged data folder discarded; joining as a new replica",
        CommandUnread = 1106 => "committed command can not be read; it changes nothing",
        TornTailCut = 1101 => "torn end of the log cut off",
        LinkUp = 1110 => "connected to another replica",
        LinkDown = 1111 => "connection to another replica failed",
        LinkRefused = 1112 => "connection of another replica refused",
    }
}
