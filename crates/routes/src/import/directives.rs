//! All directives that are known, and what becomes of each.

/// What becomes of a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectiveSupport {
    /// It is part of the table.
    Full,
    /// It is part of the table, and differs in this.
    Partial(&'static str),
    /// It has no part in routing.
    Ignored,
    /// It can't be expressed, for this reason.
    Unsupported(&'static str),
}

/// All directives that are known, with the contexts that nginx takes them in: m main, h http, s server, l location,
/// u upstream.
#[must_use]
pub fn known_directives() -> &'static [(&'static str, &'static str, DirectiveSupport)] {
    use DirectiveSupport::{Full, Ignored, Partial, Unsupported};
    const FILES: DirectiveSupport = Unsupported("matchers serve no files");
    const OTHER: DirectiveSupport =
        Unsupported("targets speak AJP or frames, and this names another protocol");
    const CHANGES: DirectiveSupport =
        Unsupported("it changes requests or answers, and they go on as they came");
    const ACCESS: DirectiveSupport = Unsupported("it admits by other rules than the matcher's");
    const PROCESS: DirectiveSupport = Ignored;
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
            Partial("headers of answers go on as they came"),
        ),
        (
            "proxy_pass_header",
            "hsl",
            Partial("headers of answers go on as they came"),
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
            Partial("the operator file bounds the time of a body"),
        ),
        (
            "client_header_timeout",
            "hs",
            Partial("the operator file bounds the time of a packet"),
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
        ("events", "m", PROCESS),
        ("user", "m", PROCESS),
        ("pid", "m", PROCESS),
        ("daemon", "m", PROCESS),
        ("worker_processes", "m", PROCESS),
        ("worker_rlimit_nofile", "m", PROCESS),
        ("worker_shutdown_timeout", "m", PROCESS),
        ("worker_cpu_affinity", "m", PROCESS),
        ("pcre_jit", "m", PROCESS),
        ("thread_pool", "m", PROCESS),
        (
            "stream",
            "m",
            Unsupported("streams have no paths to route by"),
        ),
        ("mail", "m", Unsupported("mail is not routed")),
        (
            "load_module",
            "m",
            Unsupported("nobody knows what a module changes"),
        ),
        (
            "if",
            "sl",
            Unsupported("conditions are not taken over; a map of the variable says the same"),
        ),
        ("root", "hsl", FILES),
        ("alias", "l", FILES),
        ("index", "hsl", FILES),
        ("try_files", "sl", FILES),
        ("autoindex", "hsl", FILES),
        ("expires", "hsl", FILES),
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
        ("fastcgi_pass", "l", OTHER),
        ("uwsgi_pass", "l", OTHER),
        ("scgi_pass", "l", OTHER),
        ("grpc_pass", "l", OTHER),
        ("memcached_pass", "l", OTHER),
        ("proxy_method", "hsl", CHANGES),
        ("proxy_set_body", "hsl", CHANGES),
        ("proxy_pass_request_body", "hsl", CHANGES),
        ("proxy_pass_request_headers", "hsl", CHANGES),
        (
            "proxy_bind",
            "hsl",
            Unsupported("connections to targets leave from any address"),
        ),
        ("sub_filter", "hsl", CHANGES),
        ("proxy_cache", "hsl", Unsupported("answers are not cached")),
        (
            "proxy_cache_path",
            "h",
            Unsupported("answers are not cached"),
        ),
        (
            "proxy_cache_valid",
            "hsl",
            Unsupported("answers are not cached"),
        ),
        (
            "mirror",
            "hsl",
            Unsupported("a request goes to one target, and one with an effect must run once"),
        ),
        ("proxy_ignore_client_abort", "hsl", Ignored),
        ("allow", "hsl", ACCESS),
        ("deny", "hsl", ACCESS),
        ("satisfy", "hsl", ACCESS),
        ("auth_basic", "hsl", ACCESS),
        ("auth_basic_user_file", "hsl", ACCESS),
        ("auth_request", "hsl", ACCESS),
        ("limit_except", "l", ACCESS),
        ("limit_rate", "hsl", Unsupported("answers are not delayed")),
        ("geo", "h", Unsupported("addresses are not looked up")),
        (
            "sticky",
            "u",
            Unsupported("answers go on as they came, and cookies are part of them"),
        ),
        (
            "ntlm",
            "u",
            Unsupported("a connection belongs to no caller"),
        ),
        (
            "queue",
            "u",
            Unsupported("requests wait in the matcher, which answers them by their due time"),
        ),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_directive_has_one_fate() {
        let mut names: Vec<_> = known_directives().iter().map(|(name, ..)| *name).collect();
        let count = names.len();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), count);
    }
}
