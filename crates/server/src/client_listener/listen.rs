//! Listening on addresses, immediately or with sockets that are adopted later.

use super::listening_address::ListeningAddress;
use super::{ClientListener, ClientProtocol, ListenFailure};
use crate::host::Host;
use std::io;
use std::net::SocketAddr;

impl<H: Host> ClientListener<H> {
    fn add_address(
        &mut self,
        address: SocketAddr,
        protocol: ClientProtocol,
        listener: Option<H::Listener>,
    ) {
        self.addresses.push(ListeningAddress {
            address,
            is_acceptable: listener.is_some(),
            listener,
            is_secure: self.tls.is_enabled_for(&protocol),
            protocol,
        });
    }

    /// Adds an address whose listening socket is adopted later.
    pub fn add_expected_listener(&mut self, address: SocketAddr, protocol: ClientProtocol) {
        self.add_address(address, protocol, None);
    }

    /// Listens on an additional address; returns it with the port that the system chose.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        protocol: ClientProtocol,
    ) -> io::Result<SocketAddr> {
        let (listener, address) = self.host.listen(address, self.addresses.len())?;
        self.add_address(address, protocol, Some(listener));
        Ok(address)
    }

    /// Adopts a listening socket for an address that expects one. `create` receives the listener
    /// number. Returns false if no socket is expected for the address.
    ///
    /// # Errors
    /// Errors of `create`.
    pub fn adopt(
        &mut self,
        address: SocketAddr,
        create: impl FnOnce(usize) -> io::Result<H::Listener>,
    ) -> io::Result<bool> {
        let is_expected =
            |entry: &ListeningAddress<H>| entry.address == address && entry.listener.is_none();
        let Some(index) = self.addresses.iter().position(is_expected) else {
            return Ok(false);
        };
        self.addresses[index].listener = Some(create(index)?);
        // Connections may already be pending.
        self.addresses[index].is_acceptable = true;
        Ok(true)
    }

    /// Listens on all addresses that have no listening socket yet; returns them.
    ///
    /// # Errors
    /// The first address that can't be listened on, with the error.
    pub fn listen_expected(&mut self) -> Result<Vec<SocketAddr>, ListenFailure> {
        let mut addresses = Vec::new();
        for (index, entry) in self.addresses.iter_mut().enumerate() {
            if entry.listener.is_some() {
                continue;
            }
            let address = entry.address;
            let (listener, address) = self
                .host
                .listen(address, index)
                .map_err(|error| ListenFailure { address, error })?;
            entry.address = address;
            entry.listener = Some(listener);
            entry.is_acceptable = true;
            addresses.push(address);
        }
        Ok(addresses)
    }

    /// Returns all addresses, each with its listening socket if it has one.
    pub fn listeners(&self) -> impl Iterator<Item = (SocketAddr, Option<&H::Listener>)> {
        self.addresses
            .iter()
            .map(|entry| (entry.address, entry.listener.as_ref()))
    }
}
