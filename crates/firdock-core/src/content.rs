//! Content id of a request, which identifies repeated submissions of the same request.
//!
//! Each attempt has a new request id, and names of services change with the configuration. The work of an
//! endpoint is the same as long as account, method, target and body are.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Length of an id in bytes: long enough to make it infeasible to find a second request with the same id.
const ID_BYTES: usize = 16;
/// Maximum length of the path shown to operators, in bytes.
const PATH_BYTES: usize = 128;

/// Hash of account, method, target and body, or of a prompt segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentId([u8; ID_BYTES]);

/// The text is not a content id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("expected {} hexadecimal digits", 2 * ID_BYTES))]
pub struct BadContentId;

impl ContentId {
    fn of(hash: Sha256) -> Self {
        let hash = hash.finalize();
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&hash[..ID_BYTES]);
        Self(id)
    }

    /// Returns the bytes as encoded in messages.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Decodes the bytes of a message; `None` if their number is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl Display for ContentId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ContentId {
    type Err = BadContentId;

    fn from_str(text: &str) -> Result<Self, BadContentId> {
        let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
        if text.len() != 2 * ID_BYTES || !digits {
            return BadContentIdSnafu.fail();
        }
        let number = u128::from_str_radix(text, 16).map_err(|_not_hex| BadContentId)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl Serialize for ContentId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ContentId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Content id of a request or of a prompt segment, with what is shown of it to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Hash of the content.
    pub id: ContentId,
    /// Method and path, without the query, which may contain private data; for a segment, its name.
    pub path: Arc<str>,
}

impl Content {
    /// Computes the content id of a request.
    ///
    /// The hash is cryptographic, so that no account can forge a request with the id of another one's.
    #[must_use]
    pub fn new(account: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = ContentHasher::new(account, method, target);
        hasher.update(body);
        hasher.finish()
    }

    /// Computes the id of a prompt segment that an account names in its requests for a service.
    ///
    /// The same name in requests of another account or for another service is another segment, so that what one
    /// account sends speaks against its own requests only.
    #[must_use]
    pub fn of_segment(account: &str, service: &str, segment: &str) -> Self {
        let mut hash = Sha256::new();
        // No account name is that long, so that no request has the id of a segment.
        hash.update(u64::MAX.to_be_bytes());
        hash_parts(&mut hash, [account, service, segment]);
        Self {
            id: ContentId::of(hash),
            path: display_path("segment", segment),
        }
    }
}

/// Computes the content id of a request whose body is hashed piece by piece, since a long one takes longer than
/// others can wait.
#[derive(Debug, Clone)]
pub struct ContentHasher {
    hash: Sha256,
    path: Arc<str>,
}

impl ContentHasher {
    /// Begins a request's content without its body.
    #[must_use]
    pub fn new(account: &str, method: &str, target: &str) -> Self {
        let mut hash = Sha256::new();
        hash_parts(&mut hash, [account, method, target]);
        Self {
            hash,
            path: display_path(method, target),
        }
    }

    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.hash.update(piece);
    }

    /// Returns the content, which is the one of [`Content::new`] with the whole body.
    #[must_use]
    pub fn finish(self) -> Content {
        Content {
            id: ContentId::of(self.hash),
            path: self.path,
        }
    }
}

fn hash_parts(hash: &mut Sha256, parts: [&str; 3]) {
    for part in parts {
        // The length prefix makes the concatenation of the parts unambiguous.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
}

fn display_path(method: &str, target: &str) -> Arc<str> {
    let path = target.split('?').next().unwrap_or_default();
    let end = path.floor_char_boundary(PATH_BYTES);
    format!("{method} {}", &path[..end]).into()
}
