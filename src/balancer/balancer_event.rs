use crate::event::event_codes;

event_codes! {
    /// Events of the balancer, 2000 to 2999.
    pub(crate) enum BalancerEvent {
        Started = 2001 => "balancer started",
        Stopped = 2002 => "balancer stopped",
        TableChanged = 2003 => "route table changed",
        ListenerOpened = 2004 => "service port opened",
        ListenerClosed = 2005 => "service port closed",
        ListenerFailed = 2006 => "cannot bind service port; retrying",
        PathLeft = 2007 => "path to an agent is silent; moved to another source port",
        FrameRefused = 2008 => "tunnel frame refused",
        DatagramDropped = 2009 => "datagram dropped",
        ReceiveFailed = 2010 => "receive failed",
    }
}
