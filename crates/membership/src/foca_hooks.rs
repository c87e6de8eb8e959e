//! The hooks that the SWIM library calls: a codec that rejects members beyond the limit, and the
//! handler of broadcast metrics. They limit the memory that a peer with a valid key can use.

use crate::identity::Identity;
use crate::shared_metrics::Metric;
use crate::shared_state::SharedState;
use bytes::{Buf, BufMut};
use foca::{BroadcastHandler, Codec, Header, Invalidates, PostcardCodec};
use std::cell::RefCell;
use std::rc::Rc;

/// The library's postcard codec, extended to reject members beyond the limit.
pub(crate) struct BoundedCodec {
    pub(crate) shared: Rc<RefCell<SharedState>>,
}

/// The library exports the error type of its codec only through this path.
type PostcardError = <PostcardCodec as Codec<Identity>>::Error;

/// The reason why a datagram can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CodecError {
    #[error(transparent)]
    Postcard(#[from] PostcardError),
    #[error("datagram contains a member beyond the member limit")]
    MemberLimit,
}

impl Codec<Identity> for BoundedCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        buffer: impl BufMut,
    ) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_header(header, buffer)?)
    }

    fn decode_header(&mut self, buffer: impl Buf) -> Result<Header<Identity>, CodecError> {
        let header: Header<Identity> = PostcardCodec.decode_header(buffer)?;
        let mut shared = self.shared.borrow_mut();
        // A datagram to a former incarnation of this process shows that other processes have seen
        // that incarnation.
        shared.note_former_identity(&header.dst);
        shared.sender = Some(header.src.clone());
        let is_admitted = shared.admit(&header.src);
        is_admitted.then_some(header).ok_or(CodecError::MemberLimit)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buffer: impl BufMut,
    ) -> Result<(), CodecError> {
        Ok(PostcardCodec.encode_member(member, buffer)?)
    }

    fn decode_member(&mut self, buffer: impl Buf) -> Result<foca::Member<Identity>, CodecError> {
        let member: foca::Member<Identity> = PostcardCodec.decode_member(buffer)?;
        let is_admitted = self.shared.borrow_mut().admit(member.id());
        is_admitted.then_some(member).ok_or(CodecError::MemberLimit)
    }
}

/// Merges the metrics that the library receives, and has the library disseminate the new ones.
pub(crate) struct MetricBroadcastHandler {
    pub(crate) shared: Rc<RefCell<SharedState>>,
}

/// A metric that the library disseminates.
pub(crate) struct MetricBroadcast(Metric);

impl Invalidates for MetricBroadcast {
    /// Returns whether this metric replaces the other one: it is of the same process and kind, and
    /// at least as recent.
    fn invalidates(&self, other: &Self) -> bool {
        let process_and_kind = |broadcast: &Self| (broadcast.0.address, broadcast.0.kind);
        let version = |broadcast: &Self| (broadcast.0.incarnation, broadcast.0.version);
        process_and_kind(self) == process_and_kind(other) && version(self) >= version(other)
    }
}

impl BroadcastHandler<Identity> for MetricBroadcastHandler {
    type Key = MetricBroadcast;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&Identity>,
    ) -> Result<Option<MetricBroadcast>, postcard::Error> {
        let metric: Metric = postcard::from_bytes(data)?;
        let mut shared = self.shared.borrow_mut();
        let now = shared.now;
        let is_new = shared.metrics.merge(now, metric.clone());
        Ok(is_new.then_some(MetricBroadcast(metric)))
    }
}
