use crate::event::event_codes;

event_codes! {
    /// Events of the agent, 3000 to 3999.
    pub(crate) enum AgentEvent {
        Started = 3001 => "agent started",
        Stopped = 3002 => "agent stopped",
        Announced = 3003 => "target announced and registered",
        AnnounceFailed = 3004 => "announcing failed; it is tried again",
        LeaseLost = 3005 => "lease unknown to control; announcing again",
        FrameRefused = 3006 => "tunnel frame refused",
        OtherService = 3007 => "datagram of another service refused",
        OtherTarget = 3008 => "datagram for another agent refused",
        ConnectionFailed = 3009 => "connection ended with an error",
        UpstreamFailed = 3010 => "upstream failed",
        AnswerCut = 3011 => "answer cut by the upstream; stream reset",
        PathLeft = 3012 => "silent path to a balancer left",
        Renumbered = 3013 => "service has another number; restart the agent",
        DrainBegun = 3015 => "drain begun; new connections are passed on",
        Drained = 3016 => "drained; nothing is open any more",
        PeerRefused = 3018 => "request of another agent refused",
        TicketsTaken = 3019 => "tickets of a leaving agent taken over",
        TicketsHandedOver = 3020 => "tickets handed over to another agent",
        HandoverFailed = 3021 => "handing the tickets over failed",
        WorkCut = 3017 => "open work cut on the operator's word",
        WithdrawFailed = 3014 => "withdrawing the target failed; its lease will expire",
    }
}
