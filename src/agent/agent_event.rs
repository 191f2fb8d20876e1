use crate::event::event_codes;

event_codes! {
    /// Events of the agent, 3000 to 3999.
    pub(crate) enum AgentEvent {
        Started = 3001 => "agent started",
        Stopped = 3002 => "agent stopped",
        Announced = 3003 => "target announced and registered",
        AnnounceFailed = 3004 => "announcing the target failed; retrying",
        LeaseLost = 3005 => "control does not know the lease; announcing again",
        FrameRefused = 3006 => "tunnel frame refused",
        OtherService = 3007 => "datagram for another service refused",
        OtherTarget = 3008 => "datagram for another agent refused",
        ConnectionFailed = 3009 => "connection ended with an error",
        UpstreamFailed = 3010 => "attempt at an upstream or peer failed",
        AnswerCut = 3011 => "upstream ended an answer early; stream reset",
        PathLeft = 3012 => "path to a balancer is silent",
        Renumbered = 3013 => "service number has changed; restart the agent",
        DrainBegun = 3015 => "drain started; new connections are passed on",
        Drained = 3016 => "drained; no open work is left",
        PeerRefused = 3018 => "request from another agent refused",
        TicketsTaken = 3019 => "tickets of a leaving agent taken over",
        TicketsHandedOver = 3020 => "tickets handed over to another agent",
        HandoverFailed = 3021 => "handing over the tickets failed",
        WorkCut = 3017 => "open work cut at the operator's request",
        WithdrawFailed = 3014 => "withdrawing the target failed; its lease will expire",
    }
}
