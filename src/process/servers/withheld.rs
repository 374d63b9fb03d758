//! What hosts tell each other about servers and failure domains that an earlier epoch took out of
//! use and the present one does not.

use crate::derive::data;
use crate::ids::{DomainId, Revision, ServerId};

data! {
    /// A server or failure domain that gets no requests for a bounded time, since the last fact
    /// about it in an earlier epoch (the server leaves or was removed, the domain was taken out) is
    /// not repeated in the present epoch.
    pub struct Withheld {
        /// What gets no requests.
        pub subject: WithheldSubject,
        /// The time left until it may get requests again.
        pub left_ms: u32,
    }

    /// The subject of a [`Withheld`].
    pub enum WithheldSubject {
        /// A backend server.
        Server {
            /// The name of the server.
            id: ServerId,
            /// The revision, in the present epoch, of the record that is withheld.
            revision: Revision,
            /// The revision, in an earlier epoch, of the fact because of which it is withheld.
            lost_revision: Revision,
        },
        /// A failure domain.
        Domain {
            /// The name of the failure domain.
            domain: DomainId,
            /// The revision, in an earlier epoch, of the fact because of which it is withheld.
            lost_revision: Revision,
        },
    }
}
