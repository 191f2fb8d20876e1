use crate::event::event_codes;

event_codes! {
    /// Events of a deployment that finds itself from seeds, 6000 to 6999.
    pub(crate) enum FleetEvent {
        EntryStarted = 6001 => "entry started",
        EntryStopped = 6002 => "entry stopped",
        EntryReady = 6003 => "entry takes packets: routes and targets are known",
        SideStarted = 6004 => "agent started",
        SideStopped = 6005 => "agent stopped",
        SettingsReread = 6006 => "settings read again",
        StopBegun = 6007 => "stop requested; packets are forwarded until the end",
        CoreFound = 6010 => "members of the control group found",
        CoreLost = 6011 => "control group lost; what is known stays in force",
        RoutesInForce = 6012 => "routes in force",
        TargetChanged = 6013 => "target changed",
        SeatOpened = 6014 => "control replica opened its data folder",
        SeatFailed = 6015 => "control replica failed",
        ApplyAnswered = 6016 => "manifest answered",
        ReadAnswered = 6017 => "read of the manifest answered",
        FlowOpened = 6020 => "new flow sent to an agent",
        FlowHeld = 6021 => "agent holds the flow",
        FlowRetried = 6022 => "opening not reported; sent to the next agent",
        FlowRefused = 6023 => "flow refused",
        FlowDropped = 6024 => "packet dropped",
        FlowLooked = 6025 => "owner of the flow not known; looked for by ranking",
        FlowAccepted = 6030 => "target answered the opening",
        FlowPassed = 6031 => "packet passed on to the next agent",
        FlowUnanswered = 6033 => "target left an opening unanswered",
        TargetSuspected = 6034 => "target suspected; openings are passed on",
        TargetHeard = 6035 => "target answers again",
        NoticeTaken = 6036 => "announcement of the target taken",
        NoticeIgnored = 6037 => "announcement ignored",
        LinesOmitted = 6090 => "log lines left out",
        DatagramRefused = 6091 => "datagram refused",
    }
}
