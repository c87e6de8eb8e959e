//! The known directives of nginx, and how far the importer supports each.

/// How far the importer supports a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectiveSupport {
    /// The importer takes it over into the route table.
    Full,
    /// It is accepted, with this difference to nginx.
    Partial(&'static str),
    /// It is accepted and has no influence on routing.
    Ignored,
    /// It is rejected for this reason.
    Unsupported(&'static str),
}

/// Returns the known directives: name, the contexts in which nginx allows it (m main, h http, s server,
/// l location, u upstream), and support.
#[must_use]
pub fn known_directives() -> &'static [(&'static str, &'static str, DirectiveSupport)] {
    use DirectiveSupport::{Full, Ignored, Partial, Unsupported};
    const SERVES_FILES: DirectiveSupport = Unsupported("matchers serve no files");
    const OTHER_PROTOCOL: DirectiveSupport =
        Unsupported("targets speak AJP or frames, and this names another protocol");
    const CHANGES_MESSAGES: DirectiveSupport =
        Unsupported("it changes requests or responses, which are passed on unchanged");
    const ACCESS_CONTROL: DirectiveSupport =
        Unsupported("it admits by other rules than the matcher's");
    const PROCESS_SETTING: DirectiveSupport = Ignored;
    &[
        ("http", "m", Full),
        ("server", "h", Full),
        ("location", "sl", Full),
        ("upstream", "h", Full),
        ("listen", "s", Full),
        ("server_name", "s", Full),
        ("merge_slashes", "hs", Full),
        ("internal", "l", Full),
        ("set", "sl", Full),
        ("rewrite", "sl", Full),
        ("return", "sl", Full),
        ("break", "sl", Full),
        ("map", "h", Full),
        ("split_clients", "h", Full),
        ("proxy_pass", "l", Full),
        ("proxy_next_upstream", "hsl", Full),
        ("proxy_next_upstream_tries", "hsl", Full),
        ("proxy_next_upstream_timeout", "hsl", Full),
        ("proxy_connect_timeout", "hsl", Full),
        ("proxy_send_timeout", "hsl", Full),
        ("proxy_read_timeout", "hsl", Full),
        ("limit_req", "hsl", Full),
        ("limit_req_zone", "h", Full),
        ("limit_req_status", "hsl", Full),
        ("limit_conn", "hsl", Full),
        ("limit_conn_zone", "h", Full),
        ("limit_conn_status", "hsl", Full),
        ("least_conn", "u", Full),
        ("ip_hash", "u", Full),
        ("hash", "u", Full),
        ("random", "u", Full),
        ("keepalive", "u", Full),
        ("zone", "u", Ignored),
        ("keepalive_timeout", "hslu", Ignored),
        ("keepalive_requests", "hslu", Ignored),
        ("keepalive_time", "hslu", Ignored),
        (
            "proxy_set_header",
            "hsl",
            Partial("headers go on as they came"),
        ),
        (
            "proxy_hide_header",
            "hsl",
            Partial("response headers are passed on unchanged"),
        ),
        (
            "proxy_pass_header",
            "hsl",
            Partial("response headers are passed on unchanged"),
        ),
        (
            "add_header",
            "hsl",
            Partial("answers get no further headers"),
        ),
        (
            "proxy_redirect",
            "hsl",
            Partial("answers go on as they came"),
        ),
        (
            "client_max_body_size",
            "hsl",
            Partial("the operator file bounds bodies"),
        ),
        (
            "client_body_timeout",
            "hsl",
            Partial("the operator file limits the time to receive a body"),
        ),
        (
            "client_header_timeout",
            "hs",
            Partial("the operator file limits the time to receive a packet"),
        ),
        ("proxy_http_version", "hsl", Ignored),
        ("proxy_buffering", "hsl", Ignored),
        ("proxy_request_buffering", "hsl", Ignored),
        ("proxy_buffers", "hsl", Ignored),
        ("proxy_buffer_size", "hsl", Ignored),
        ("proxy_busy_buffers_size", "hsl", Ignored),
        ("proxy_socket_keepalive", "hsl", Ignored),
        ("proxy_headers_hash_max_size", "hsl", Ignored),
        ("proxy_headers_hash_bucket_size", "hsl", Ignored),
        ("client_body_buffer_size", "hsl", Ignored),
        ("client_header_buffer_size", "hs", Ignored),
        ("large_client_header_buffers", "hs", Ignored),
        ("limit_req_log_level", "hsl", Ignored),
        ("limit_conn_log_level", "hsl", Ignored),
        ("server_names_hash_max_size", "h", Ignored),
        ("server_names_hash_bucket_size", "h", Ignored),
        ("variables_hash_max_size", "h", Ignored),
        ("variables_hash_bucket_size", "h", Ignored),
        ("map_hash_max_size", "h", Ignored),
        ("map_hash_bucket_size", "h", Ignored),
        ("types_hash_max_size", "hsl", Ignored),
        ("types_hash_bucket_size", "hsl", Ignored),
        ("access_log", "hsl", Ignored),
        ("error_log", "mhsl", Ignored),
        ("log_format", "h", Ignored),
        ("log_not_found", "hsl", Ignored),
        ("rewrite_log", "hsl", Ignored),
        ("server_tokens", "hsl", Ignored),
        ("sendfile", "hsl", Ignored),
        ("tcp_nopush", "hsl", Ignored),
        ("tcp_nodelay", "hsl", Ignored),
        ("types", "hsl", Ignored),
        ("default_type", "hsl", Ignored),
        ("charset", "hsl", Ignored),
        ("gzip", "hsl", Ignored),
        ("gzip_types", "hsl", Ignored),
        ("gzip_min_length", "hsl", Ignored),
        ("gzip_comp_level", "hsl", Ignored),
        ("gzip_vary", "hsl", Ignored),
        ("gzip_proxied", "hsl", Ignored),
        ("reset_timedout_connection", "hsl", Ignored),
        ("send_timeout", "hsl", Ignored),
        ("lingering_close", "hsl", Ignored),
        ("lingering_time", "hsl", Ignored),
        ("lingering_timeout", "hsl", Ignored),
        ("resolver", "hslu", Ignored),
        ("resolver_timeout", "hslu", Ignored),
        ("ssl_certificate", "hs", Partial("TLS is ended elsewhere")),
        (
            "ssl_certificate_key",
            "hs",
            Partial("TLS is ended elsewhere"),
        ),
        ("ssl_protocols", "hs", Partial("TLS is ended elsewhere")),
        ("ssl_ciphers", "hs", Partial("TLS is ended elsewhere")),
        ("ssl_session_cache", "hs", Partial("TLS is ended elsewhere")),
        (
            "ssl_session_timeout",
            "hs",
            Partial("TLS is ended elsewhere"),
        ),
        ("events", "m", PROCESS_SETTING),
        ("user", "m", PROCESS_SETTING),
        ("pid", "m", PROCESS_SETTING),
        ("daemon", "m", PROCESS_SETTING),
        ("worker_processes", "m", PROCESS_SETTING),
        ("worker_rlimit_nofile", "m", PROCESS_SETTING),
        ("worker_shutdown_timeout", "m", PROCESS_SETTING),
        ("worker_cpu_affinity", "m", PROCESS_SETTING),
        ("pcre_jit", "m", PROCESS_SETTING),
        ("thread_pool", "m", PROCESS_SETTING),
        (
            "stream",
            "m",
            Unsupported("streams have no paths to route by"),
        ),
        ("mail", "m", Unsupported("mail is not routed")),
        (
            "load_module",
            "m",
            Unsupported("what a module changes is unknown"),
        ),
        (
            "if",
            "sl",
            Unsupported("conditions are not taken over; a map of the variable says the same"),
        ),
        ("root", "hsl", SERVES_FILES),
        ("alias", "l", SERVES_FILES),
        ("index", "hsl", SERVES_FILES),
        ("try_files", "sl", SERVES_FILES),
        ("autoindex", "hsl", SERVES_FILES),
        ("expires", "hsl", SERVES_FILES),
        (
            "error_page",
            "hsl",
            Unsupported("an answer stays what it is"),
        ),
        (
            "proxy_intercept_errors",
            "hsl",
            Unsupported("an answer stays what it is"),
        ),
        (
            "recursive_error_pages",
            "hsl",
            Unsupported("an answer stays what it is"),
        ),
        ("port_in_redirect", "hsl", Ignored),
        ("absolute_redirect", "hsl", Ignored),
        ("fastcgi_pass", "l", OTHER_PROTOCOL),
        ("uwsgi_pass", "l", OTHER_PROTOCOL),
        ("scgi_pass", "l", OTHER_PROTOCOL),
        ("grpc_pass", "l", OTHER_PROTOCOL),
        ("memcached_pass", "l", OTHER_PROTOCOL),
        ("proxy_method", "hsl", CHANGES_MESSAGES),
        ("proxy_set_body", "hsl", CHANGES_MESSAGES),
        ("proxy_pass_request_body", "hsl", CHANGES_MESSAGES),
        ("proxy_pass_request_headers", "hsl", CHANGES_MESSAGES),
        (
            "proxy_bind",
            "hsl",
            Unsupported("connections to targets use any local address"),
        ),
        ("sub_filter", "hsl", CHANGES_MESSAGES),
        (
            "proxy_cache",
            "hsl",
            Unsupported("responses are not cached"),
        ),
        (
            "proxy_cache_path",
            "h",
            Unsupported("responses are not cached"),
        ),
        (
            "proxy_cache_valid",
            "hsl",
            Unsupported("responses are not cached"),
        ),
        (
            "mirror",
            "hsl",
            Unsupported("a request goes to one target, and one with an effect must run once"),
        ),
        ("proxy_ignore_client_abort", "hsl", Ignored),
        ("allow", "hsl", ACCESS_CONTROL),
        ("deny", "hsl", ACCESS_CONTROL),
        ("satisfy", "hsl", ACCESS_CONTROL),
        ("auth_basic", "hsl", ACCESS_CONTROL),
        ("auth_basic_user_file", "hsl", ACCESS_CONTROL),
        ("auth_request", "hsl", ACCESS_CONTROL),
        ("limit_except", "l", ACCESS_CONTROL),
        (
            "limit_rate",
            "hsl",
            Unsupported("the rate of a response is not limited"),
        ),
        ("geo", "h", Unsupported("addresses are not looked up")),
        (
            "sticky",
            "u",
            Unsupported("answers go on as they came, and cookies are part of them"),
        ),
        (
            "ntlm",
            "u",
            Unsupported("connections to targets are shared by all callers"),
        ),
        (
            "queue",
            "u",
            Unsupported("requests wait in the matcher, which responds by their deadline"),
        ),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_directive_is_listed_once() {
        let mut names: Vec<_> = known_directives().iter().map(|(name, ..)| *name).collect();
        let count = names.len();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), count);
    }
}
