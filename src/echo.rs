//! Whether an answer of a backend server belongs to the request that was sent.
//!
//! On a kept connection an answer is matched to its request by order, and a faulty backend server may write
//! one answer too many. The request id that backend servers return is the only thing that tells such an
//! answer from the right one. docs/DESIGN.md, "Answers of backend servers".

use crate::connection::AnswerHead;
use crate::dialect::Dialect;
use crate::envelope::RequestId;

/// What the request id in an answer says about the answer's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The answer has the request's id, or backend servers return no ids in this dialect.
    Own,
    /// The answer has no id, and is the first on its connection.
    MissingFirst,
    /// The answer has no id, and the connection has carried other requests.
    Missing,
    /// The answer has the id of another request.
    Foreign,
    /// The answer has several ids.
    Duplicated,
}

impl Echo {
    /// Compares the request id in an answer with that of the request.
    pub fn of(dialect: &Dialect, request: &RequestId, head: &AnswerHead<'_>) -> Self {
        if !dialect.echoes_id {
            return Self::Own;
        }
        let mut ids = head.headers.get_all(&dialect.request_id).iter();
        match (ids.next(), ids.next()) {
            (None, _) if head.is_first => Self::MissingFirst,
            (None, _) => Self::Missing,
            (Some(_), Some(_)) => Self::Duplicated,
            (Some(id), None) if *id == request.to_header() => Self::Own,
            (Some(_), None) => Self::Foreign,
        }
    }

    /// Whether the answer belongs to the request.
    pub const fn is_own(self) -> bool {
        matches!(self, Self::Own | Self::MissingFirst)
    }

    /// Value of the metric label and the log field.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::MissingFirst => "missing-first",
            Self::Missing => "missing",
            Self::Foreign => "foreign",
            Self::Duplicated => "duplicated",
        }
    }
}
