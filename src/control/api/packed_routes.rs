use serde::{Deserializer, Serialize, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs, base64::Base64};

/// Serialises routes in JSON as base64 of their postcard encoding.
///
/// A target needs about a third of the bytes of plain JSON.
pub(super) struct PackedRoutes;

impl<T: Serialize> SerializeAs<T> for PackedRoutes {
    fn serialize_as<S: Serializer>(source: &T, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_stdvec(source).map_err(serde::ser::Error::custom)?;
        Base64::<serde_with::base64::Standard>::serialize_as(&bytes, serializer)
    }
}

impl<'de, T: de::DeserializeOwned> DeserializeAs<'de, T> for PackedRoutes {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
        let bytes: Vec<u8> = Base64::<serde_with::base64::Standard>::deserialize_as(deserializer)?;
        postcard::from_bytes(&bytes).map_err(de::Error::custom)
    }
}
