use crate::event::event_codes;

event_codes! {
    /// Events of the client of control's feed, 5000 to 5999.
    pub(crate) enum WatchEvent {
        FeedLost = 5001 => "feed of control lost; the routes in force stay",
        FeedFound = 5002 => "feed of control connected",
        UpdateRefused = 5003 => "update of the routes refused",
        FirstRoutes = 5004 => "first routes received",
    }
}
