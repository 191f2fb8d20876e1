//! Numbered log events.
//!
//! Each module declares its own events with [`event_codes!`]; `docs/EVENTS.md`
//! lists them all, and the test `event_catalogue` compares that page with the
//! code.

mod catalogue;
mod event_entry;

pub use catalogue::event_catalogue;
pub use event_entry::EventEntry;

/// Declares an enum of numbered events, each with a fixed message.
macro_rules! event_codes {
    (
        $(#[$attribute:meta])*
        $visibility:vis enum $name:ident {
            $($variant:ident = $number:literal => $message:literal),+ $(,)?
        }
    ) => {
        $(#[$attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        $visibility enum $name {
            $(#[doc = $message] $variant = $number),+
        }

        impl $name {
            /// All events of this enum, in the order of declaration.
            pub(crate) const ALL: &'static [$crate::event::EventEntry] = &[
                $($crate::event::EventEntry::new($number, stringify!($variant), $message)),+
            ];

            /// Returns the event's number, for the field `event` of a log line.
            pub(crate) const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the event's fixed message.
            pub(crate) const fn message(self) -> &'static str {
                match self {
                    $(Self::$variant => $message),+
                }
            }
        }
    };
}

/// Logs a numbered event: `log_event!(info, ControlEvent::Started, address = %address)`.
macro_rules! log_event {
    ($level:ident, $event:expr $(, $($field:tt)+)?) => {
        tracing::$level!(event = $event.number(), $($($field)+,)? "{}", $event.message())
    };
}

pub(crate) use event_codes;
pub(crate) use log_event;
