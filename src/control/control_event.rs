use crate::event::event_codes;

event_codes! {
    /// Events of control replicas, 1000 to 1999.
    pub(crate) enum ControlEvent {
        Started = 1001 => "control replica started",
        Stopped = 1002 => "control replica stopped",
        LeasesTaken = 1010 => "became leader: granted every registered target a full lease",
        LeasesResigned = 1011 => "no longer leader: stopped tracking leases",
        LeasesExpired = 1012 => "leases expired; their targets were deregistered",
        LeasesHeld = 1013 => "most targets of a service send no heartbeats; their expiry is postponed",
        ExpiryRefused = 1014 => "leases expired, but the group could not commit their removal",
        LinkListening = 1113 => "listening for other replicas",
        GroupFormed = 1120 => "control group formed",
        LeaderElected = 1121 => "this replica became leader",
        LeaderDeposed = 1122 => "this replica is no longer leader: a newer term began",
        QuorumLost = 1123 => "this replica is no longer leader: no majority answers, nothing is accepted",
        LearnerAdded = 1124 => "new data folder joined as a learner: it receives the log and has no vote yet",
        VoterRemoved = 1125 => "replaced data folder removed from the voters",
        RepairDone = 1126 => "new data folder has the whole log and is now a voter",
        LeaderGone = 1129 => "the leader refuses connections, so its process is gone: asking for votes",
        VoterDemoted = 1130 => "a replica that stops has no vote any more; it still receives the log",
        LearnerRemoved = 1131 => "silent learner removed from the group",
        CommittedConflict = 1128 => "refused a leader's entry that conflicts with a committed one",
        ForeignGroup = 1127 => "dropping messages from a replica of another group",
        ReplicaFailed = 1102 => "replica stopped: its log failed",
        DiskRefused = 1103 => "disk operation failed; retrying, nothing is acknowledged meanwhile",
        DiskRecovered = 1104 => "disk writes succeed again",
        FolderDiscarded = 1105 => "damaged data folder discarded; joining as a new replica",
        CommandUnread = 1106 => "committed command cannot be decoded; it has no effect",
        EvacuationsChanged = 1107 => "evacuated failure domains changed",
        OrderRefused = 1108 => "order about a failure domain exceeds the bounds; it has no effect",
        LimitsUnread = 1109 => "cold limits of a committed manifest cannot be decoded; they are omitted",
        TornTailCut = 1101 => "truncated the torn end of the log",
        LinkUp = 1110 => "connected to another replica",
        LinkDown = 1111 => "connection to another replica failed",
        LinkRefused = 1112 => "refused a connection from another replica",
    }
}
