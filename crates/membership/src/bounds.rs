//! What is shared between the library's parts and ours: who is there, so that no more are taken in than are bounded.

use crate::figures::{Figure, Figures};
use crate::identity::Identity;
use bytes::{Buf, BufMut};
use cleatpulley_policy::interface::Micros;
use foca::{BroadcastHandler, Codec, Header, Invalidates, PostcardCodec};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// What was heard, for all parts that hear.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) now: Micros,
    pub(crate) most: usize,
    /// Addresses of processes that are there or were lately.
    pub(crate) addresses: BTreeSet<SocketAddr>,
    pub(crate) figures: Figures,
    /// Former lives of this process that others have seen: the highest incarnation.
    pub(crate) seen: u64,
    pub(crate) own: Option<Identity>,
    /// Who sent the datagram that is being heard.
    pub(crate) sender: Option<Identity>,
    /// Members that found no room.
    pub(crate) left_out: u64,
}

impl Shared {
    /// Notes a former life of this process: the same name at the same address. One at another address may be somebody else.
    fn look(&mut self, identity: &Identity) {
        let Some(own) = &self.own else { return };
        if identity != own && identity.name == own.name && identity.address == own.address {
            self.seen = self.seen.max(identity.incarnation);
        }
    }

    /// Whether there is room for a member.
    fn admits(&mut self, member: &Identity) -> bool {
        self.look(member);
        if self.addresses.contains(&member.address) || self.addresses.len() < self.most {
            return true;
        }
        self.left_out += 1;
        false
    }
}

/// Postcard, with members that find no room refused. Guards the memory against whoever holds the key and invents members.
pub(crate) struct Bounded {
    pub(crate) shared: Rc<RefCell<Shared>>,
}

/// Why a datagram is not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Unread {
    #[error(transparent)]
    Bytes(#[from] foca_postcard::Error),
    #[error("it names a member for whom there is no room")]
    Room,
}

/// The library names its codec's fault type only by this path.
mod foca_postcard {
    pub(crate) type Error = <foca::PostcardCodec as foca::Codec<crate::identity::Identity>>::Error;
}

impl Codec<Identity> for Bounded {
    type Error = Unread;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), Unread> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, Unread> {
        let header: Header<Identity> = PostcardCodec.decode_header(buf)?;
        let mut shared = self.shared.borrow_mut();
        // Whoever still asks for a former life tells of it.
        shared.look(&header.dst);
        shared.sender = Some(header.src.clone());
        let room = shared.admits(&header.src);
        room.then_some(header).ok_or(Unread::Room)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Identity>,
        buf: impl BufMut,
    ) -> Result<(), Unread> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Identity>, Unread> {
        let member: foca::Member<Identity> = PostcardCodec.decode_member(buf)?;
        let room = self.shared.borrow_mut().admits(member.id());
        room.then_some(member).ok_or(Unread::Room)
    }
}

/// Figures, as the library passes them on.
pub(crate) struct Told {
    pub(crate) shared: Rc<RefCell<Shared>>,
}

/// Of two of one process and kind, the later is passed on.
pub(crate) struct Key(Figure);

impl Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        let rank = |key: &Self| (key.0.incarnation, key.0.version);
        (self.0.address, self.0.kind) == (other.0.address, other.0.kind)
            && rank(self) >= rank(other)
    }
}

impl BroadcastHandler<Identity> for Told {
    type Key = Key;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Identity>,
    ) -> Result<Option<Key>, postcard::Error> {
        let figure: Figure = postcard::from_bytes(data)?;
        let mut shared = self.shared.borrow_mut();
        let now = shared.now;
        Ok(shared
            .figures
            .merge(now, figure.clone())
            .then_some(Key(figure)))
    }
}
