//! Construction of a server from its options: listeners, connection to a predecessor, and
//! components.

use super::state::{
    Adapters, Handover, KeyPersistence, KeyPersistenceSettings, ReputationPersistence,
    ServerIdentity, Shutdown, WarmUp,
};
use super::{Server, RESERVED_DESCRIPTORS};
use crate::client_listener::{ClientListener, ClientProtocol};
use crate::dependency_pool::DependencyPool;
use crate::error::StartError;
use crate::host::{HandoverAddress, Host};
use crate::hot_restart::HotRestart;
use crate::management_endpoint::{self, ManagementEndpoint};
use crate::options::{IdempotencyOptions, Options, Reload};
use crate::registry_client::RegistryClient;
use crate::runtime_link::RuntimeLink;
use crate::tls_layer::{TlsOptions, TlsState};
use cleatpulley_connection_admission::Admission;
use cleatpulley_dispatcher::key_table::KeyTable;
use cleatpulley_dispatcher::{Dispatcher, IdempotencyKeys};
use cleatpulley_policy::interface::Settings;
use cleatpulley_protocol::frame::connection::FrameOptions;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// Descriptors of the process per connection to the dependency. The server's share of all calls is
/// far smaller, and clients may open connections for half of the descriptors.
const DESCRIPTORS_PER_DEPENDENCY_CONNECTION: usize = 16;
/// Range of the connection limit to the dependency.
const DEPENDENCY_CONNECTION_RANGE: RangeInclusive<usize> = 8..=64;

/// Connection limits derived from the descriptor limit.
struct ConnectionLimits {
    client_connections: usize,
    dependency_connections: usize,
}

impl ConnectionLimits {
    fn new(options: &Options) -> Self {
        let dependency_connections =
            (options.max_descriptors / DESCRIPTORS_PER_DEPENDENCY_CONNECTION).clamp(
                *DEPENDENCY_CONNECTION_RANGE.start(),
                *DEPENDENCY_CONNECTION_RANGE.end(),
            );
        let management_connections = match options.management {
            Some(_) => management_endpoint::MAX_CONNECTIONS + 1,
            None => 0,
        };
        let others = RESERVED_DESCRIPTORS + dependency_connections + management_connections;
        Self {
            client_connections: options.max_descriptors.saturating_sub(others).max(1),
            dependency_connections,
        }
    }
}

/// A listening address for clients or proxies, and its protocol.
struct ClientAddress {
    address: SocketAddr,
    protocol: ClientProtocol,
}

impl<H: Host> Server<H> {
    /// Creates a server that listens, or that expects the listeners of its predecessor.
    ///
    /// # Errors
    /// A [`StartError`] wrapped in an [`io::Error`] if a listening socket can't be created or the
    /// certificate is unusable, and the error of the operating system if the persistence of
    /// idempotency keys can't be started.
    pub fn new(host: H, mut options: Options, reload: Reload) -> io::Result<Self> {
        let limits = ConnectionLimits::new(&options);
        // Created first, because the client listener takes the admission settings out of the
        // options.
        let reputation = ReputationPersistence::new(&options);
        let mut client_listener = create_client_listener(&host, &mut options, &limits);
        let tls = load_tls(&host, options.tls.take(), &mut client_listener)?;
        let addresses = client_addresses(&mut options);
        let mut hot_restart = find_predecessor(&host, &options, &addresses);
        listen(
            &host,
            &options.name,
            &mut client_listener,
            addresses,
            &mut hot_restart,
        )?;
        let management = listen_for_operators(&host, options.management, tls.as_ref())?;
        let handover = Handover::new(
            hot_restart,
            handover_address(&options),
            limits.client_connections,
        );
        let key_persistence = create_key_persistence(&host, &options, &handover)?;
        let adapters = Adapters {
            client_listener,
            management,
            runtime: create_runtime_link(&host, &options),
            dependency_pool: create_dependency_pool(&host, &options, &limits),
            registry: RegistryClient::new(host.clone(), options.services.registry, &options.name),
            tls,
        };
        let mut server = Self {
            identity: ServerIdentity::new(&options),
            reload,
            adapters,
            events: Vec::new(),
            commands: Vec::new(),
            shutdown: Shutdown::new(&options),
            handover,
            key_persistence,
            reputation,
            warm_up: WarmUp::new(&options.settings),
            dispatcher: create_dispatcher(options.settings, options.seed, options.idempotency),
            host,
        };
        if server.handover.is_serving() {
            server.reputation.open(&server.host);
        }
        Ok(server)
    }
}

/// Opens the persistence of idempotency keys unless a predecessor has to release it first.
fn create_key_persistence<H: Host>(
    host: &H,
    options: &Options,
    handover: &Handover<H>,
) -> io::Result<KeyPersistence<H>> {
    let idempotency = options.idempotency.as_ref();
    let settings = idempotency.map(KeyPersistenceSettings::new);
    let mut key_persistence = KeyPersistence::new(settings);
    if handover.is_serving() {
        key_persistence.open(host)?;
    }
    Ok(key_persistence)
}

fn create_runtime_link<H: Host>(host: &H, options: &Options) -> RuntimeLink<H> {
    RuntimeLink::new(
        host.clone(),
        options.services.runtime,
        options.class_names.clone(),
        options.gauge_names.clone(),
    )
}

fn create_dependency_pool<H: Host>(
    host: &H,
    options: &Options,
    limits: &ConnectionLimits,
) -> DependencyPool<H> {
    DependencyPool::new(
        host.clone(),
        options.services.dependency,
        options.dependency_protocol.clone(),
        limits.dependency_connections,
    )
}

fn create_client_listener<H: Host>(
    host: &H,
    options: &mut Options,
    limits: &ConnectionLimits,
) -> ClientListener<H> {
    let class_names = options.class_names.clone();
    let mut client_listener =
        ClientListener::new(host.clone(), class_names, limits.client_connections);
    client_listener.set_buffer_limit(options.max_buffered_bytes);
    if let Some(settings) = options.connection_admission.take() {
        client_listener.set_admission(Admission::new(settings, host.now()));
    }
    client_listener
}

/// Loads the certificate if TLS is enabled.
fn load_tls<H: Host>(
    host: &H,
    options: Option<TlsOptions>,
    client_listener: &mut ClientListener<H>,
) -> Result<Option<Rc<RefCell<TlsState>>>, StartError> {
    let Some(options) = options else {
        return Ok(None);
    };
    let tls = Rc::new(RefCell::new(TlsState::new(options, host.now())?));
    client_listener.set_tls(host.now(), Rc::clone(&tls));
    Ok(Some(tls))
}

/// Returns the listening addresses for clients and proxies, beginning with the one for frames.
fn client_addresses(options: &mut Options) -> Vec<ClientAddress> {
    let idempotency = options.idempotency.as_ref();
    let terms = FrameOptions {
        key_field: idempotency.and_then(|idempotency| idempotency.key_frame_field.clone()),
        supports_cancel: options.settings.reports_abandonment,
    };
    let mut addresses = vec![ClientAddress {
        address: options.listen,
        protocol: ClientProtocol::Frames(Rc::new(terms)),
    }];
    if let Some(ajp) = options.ajp.take() {
        let settings = Rc::new(ajp.settings);
        let trusted_proxies = Rc::new(ajp.trusted_proxies);
        addresses.extend(ajp.listen.into_iter().map(|address| ClientAddress {
            address,
            protocol: ClientProtocol::Ajp(Rc::clone(&settings), Rc::clone(&trusted_proxies)),
        }));
    }
    addresses
}

/// Returns the rendezvous with other processes of this server, if there is a handover folder.
fn handover_address(options: &Options) -> Option<HandoverAddress> {
    Some(HandoverAddress {
        folder: options.handover_folder.clone()?,
        name: options.name.clone(),
        address: options.listen,
    })
}

/// Connects to the predecessor, if there is one; returns `None` without a handover folder.
fn find_predecessor<H: Host>(
    host: &H,
    options: &Options,
    addresses: &[ClientAddress],
) -> Option<HotRestart<H>> {
    let handover_address = handover_address(options)?;
    let addresses: Vec<_> = addresses.iter().map(|listen| listen.address).collect();
    Some(HotRestart::new(host.clone(), handover_address, &addresses))
}

/// Listens on all addresses, or expects the listeners of the predecessor.
fn listen<H: Host>(
    host: &H,
    name: &str,
    client_listener: &mut ClientListener<H>,
    addresses: Vec<ClientAddress>,
    hot_restart: &mut Option<HotRestart<H>>,
) -> Result<(), StartError> {
    if !hot_restart.as_ref().is_none_or(HotRestart::is_serving) {
        client_listener.pause_accepting();
        for ClientAddress { address, protocol } in addresses {
            client_listener.add_expected_listener(address, protocol);
        }
        return Ok(());
    }
    for (index, ClientAddress { address, protocol }) in addresses.into_iter().enumerate() {
        check_address_is_free(host, address, hot_restart.as_ref())?;
        let address = client_listener
            .listen(address, protocol)
            .map_err(|source| StartError::Listen { address, source })?;
        if index > 0 {
            tracing::info!("{name} speaks AJP on {address}");
            continue;
        }
        tracing::info!("{name} listens on {address}");
        if let Some(hot_restart) = hot_restart {
            hot_restart.listen_for_successors(address);
        }
    }
    Ok(())
}

/// Rejects an address that an unrelated process listens on, which SO_REUSEPORT would share: a
/// predecessor would have been found before.
fn check_address_is_free<H: Host>(
    host: &H,
    address: SocketAddr,
    hot_restart: Option<&HotRestart<H>>,
) -> Result<(), StartError> {
    let may_have_predecessor = hot_restart.is_none_or(HotRestart::is_predecessor_unknown);
    if !may_have_predecessor && host.is_address_in_use(address) {
        return Err(StartError::AddressInUse { address });
    }
    Ok(())
}

fn listen_for_operators<H: Host>(
    host: &H,
    address: Option<SocketAddr>,
    tls: Option<&Rc<RefCell<TlsState>>>,
) -> Result<Option<ManagementEndpoint<H>>, StartError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let mut management = ManagementEndpoint::listen(host.clone(), address)?;
    if let Some(tls) = tls.filter(|tls| tls.borrow().options().mgmt) {
        management.set_tls(Rc::clone(tls));
    }
    Ok(Some(management))
}

fn create_dispatcher(
    settings: Settings,
    seed: u64,
    idempotency: Option<IdempotencyOptions>,
) -> Dispatcher {
    let Some(idempotency) = idempotency else {
        return Dispatcher::new(settings, seed);
    };
    let keys = IdempotencyKeys::new(
        idempotency.classes,
        idempotency.required,
        idempotency.scope,
        KeyTable::new(idempotency.capacity),
    );
    let settings = Settings {
        key_entry_kb: idempotency.key_entry_kb,
        ..settings
    };
    Dispatcher::with_keys(settings, seed, keys)
}
