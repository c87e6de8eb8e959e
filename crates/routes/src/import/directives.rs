//! All directives that are known, and what becomes of each.

/// What becomes of a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is part of the table.
    Taken,
    /// It is part of the table, and differs in this.
    Differs(&'static str),
    /// It has no part in routing.
    Harmless,
    /// It can't be expressed, for this reason.
    Refused(&'static str),
}

/// All directives that are known, with the contexts that nginx takes them in: m main, h http, s server, l location,
/// u upstream.
#[must_use]
pub fn table() -> &'static [(&'static str, &'static str, Fate)] {
    use Fate::{Differs, Harmless, Refused, Taken};
    const FILES: Fate = Refused("matchers serve no files");
    const OTHER: Fate = Refused("targets speak AJP or frames, and this names another protocol");
    const CHANGES: Fate = Refused("it changes requests or answers, and they go on as they came");
    const ACCESS: Fate = Refused("it admits by other rules than the matcher's");
    const PROCESS: Fate = Harmless;
    &[
        ("http", "m", Taken),
        ("server", "h", Taken),
        ("location", "sl", Taken),
        ("upstream", "h", Taken),
        ("listen", "s", Taken),
        ("server_name", "s", Taken),
        ("merge_slashes", "hs", Taken),
        ("internal", "l", Taken),
        ("set", "sl", Taken),
        ("rewrite", "sl", Taken),
        ("return", "sl", Taken),
        ("break", "sl", Taken),
        ("map", "h", Taken),
        ("split_clients", "h", Taken),
        ("proxy_pass", "l", Taken),
        ("proxy_next_upstream", "hsl", Taken),
        ("proxy_next_upstream_tries", "hsl", Taken),
        ("proxy_next_upstream_timeout", "hsl", Taken),
        ("proxy_connect_timeout", "hsl", Taken),
        ("proxy_send_timeout", "hsl", Taken),
        ("proxy_read_timeout", "hsl", Taken),
        ("limit_req", "hsl", Taken),
        ("limit_req_zone", "h", Taken),
        ("limit_req_status", "hsl", Taken),
        ("limit_conn", "hsl", Taken),
        ("limit_conn_zone", "h", Taken),
        ("limit_conn_status", "hsl", Taken),
        ("least_conn", "u", Taken),
        ("ip_hash", "u", Taken),
        ("hash", "u", Taken),
        ("random", "u", Taken),
        ("keepalive", "u", Taken),
        ("zone", "u", Harmless),
        ("keepalive_timeout", "hslu", Harmless),
        ("keepalive_requests", "hslu", Harmless),
        ("keepalive_time", "hslu", Harmless),
        (
            "proxy_set_header",
            "hsl",
            Differs("headers go on as they came"),
        ),
        (
            "proxy_hide_header",
            "hsl",
            Differs("headers of answers go on as they came"),
        ),
        (
            "proxy_pass_header",
            "hsl",
            Differs("headers of answers go on as they came"),
        ),
        (
            "add_header",
            "hsl",
            Differs("answers get no further headers"),
        ),
        (
            "proxy_redirect",
            "hsl",
            Differs("answers go on as they came"),
        ),
        (
            "client_max_body_size",
            "hsl",
            Differs("the operator file bounds bodies"),
        ),
        (
            "client_body_timeout",
            "hsl",
            Differs("the operator file bounds the time of a body"),
        ),
        (
            "client_header_timeout",
            "hs",
            Differs("the operator file bounds the time of a packet"),
        ),
        ("proxy_http_version", "hsl", Harmless),
        ("proxy_buffering", "hsl", Harmless),
        ("proxy_request_buffering", "hsl", Harmless),
        ("proxy_buffers", "hsl", Harmless),
        ("proxy_buffer_size", "hsl", Harmless),
        ("proxy_busy_buffers_size", "hsl", Harmless),
        ("proxy_socket_keepalive", "hsl", Harmless),
        ("proxy_headers_hash_max_size", "hsl", Harmless),
        ("proxy_headers_hash_bucket_size", "hsl", Harmless),
        ("client_body_buffer_size", "hsl", Harmless),
        ("client_header_buffer_size", "hs", Harmless),
        ("large_client_header_buffers", "hs", Harmless),
        ("limit_req_log_level", "hsl", Harmless),
        ("limit_conn_log_level", "hsl", Harmless),
        ("server_names_hash_max_size", "h", Harmless),
        ("server_names_hash_bucket_size", "h", Harmless),
        ("variables_hash_max_size", "h", Harmless),
        ("variables_hash_bucket_size", "h", Harmless),
        ("map_hash_max_size", "h", Harmless),
        ("map_hash_bucket_size", "h", Harmless),
        ("types_hash_max_size", "hsl", Harmless),
        ("types_hash_bucket_size", "hsl", Harmless),
        ("access_log", "hsl", Harmless),
        ("error_log", "mhsl", Harmless),
        ("log_format", "h", Harmless),
        ("log_not_found", "hsl", Harmless),
        ("rewrite_log", "hsl", Harmless),
        ("server_tokens", "hsl", Harmless),
        ("sendfile", "hsl", Harmless),
        ("tcp_nopush", "hsl", Harmless),
        ("tcp_nodelay", "hsl", Harmless),
        ("types", "hsl", Harmless),
        ("default_type", "hsl", Harmless),
        ("charset", "hsl", Harmless),
        ("gzip", "hsl", Harmless),
        ("gzip_types", "hsl", Harmless),
        ("gzip_min_length", "hsl", Harmless),
        ("gzip_comp_level", "hsl", Harmless),
        ("gzip_vary", "hsl", Harmless),
        ("gzip_proxied", "hsl", Harmless),
        ("reset_timedout_connection", "hsl", Harmless),
        ("send_timeout", "hsl", Harmless),
        ("lingering_close", "hsl", Harmless),
        ("lingering_time", "hsl", Harmless),
        ("lingering_timeout", "hsl", Harmless),
        ("resolver", "hslu", Harmless),
        ("resolver_timeout", "hslu", Harmless),
        ("ssl_certificate", "hs", Differs("TLS is ended elsewhere")),
        (
            "ssl_certificate_key",
            "hs",
            Differs("TLS is ended elsewhere"),
        ),
        ("ssl_protocols", "hs", Differs("TLS is ended elsewhere")),
        ("ssl_ciphers", "hs", Differs("TLS is ended elsewhere")),
        ("ssl_session_cache", "hs", Differs("TLS is ended elsewhere")),
        (
            "ssl_session_timeout",
            "hs",
            Differs("TLS is ended elsewhere"),
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
        ("stream", "m", Refused("streams have no paths to route by")),
        ("mail", "m", Refused("mail is not routed")),
        (
            "load_module",
            "m",
            Refused("nobody knows what a module changes"),
        ),
        (
            "if",
            "sl",
            Refused("conditions are not taken over; a map of the variable says the same"),
        ),
        ("root", "hsl", FILES),
        ("alias", "l", FILES),
        ("index", "hsl", FILES),
        ("try_files", "sl", FILES),
        ("autoindex", "hsl", FILES),
        ("expires", "hsl", FILES),
        ("error_page", "hsl", Refused("an answer stays what it is")),
        (
            "proxy_intercept_errors",
            "hsl",
            Refused("an answer stays what it is"),
        ),
        (
            "recursive_error_pages",
            "hsl",
            Refused("an answer stays what it is"),
        ),
        ("port_in_redirect", "hsl", Harmless),
        ("absolute_redirect", "hsl", Harmless),
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
            Refused("connections to targets leave from any address"),
        ),
        ("sub_filter", "hsl", CHANGES),
        ("proxy_cache", "hsl", Refused("answers are not cached")),
        ("proxy_cache_path", "h", Refused("answers are not cached")),
        (
            "proxy_cache_valid",
            "hsl",
            Refused("answers are not cached"),
        ),
        (
            "mirror",
            "hsl",
            Refused("a request goes to one target, and one with an effect must run once"),
        ),
        ("proxy_ignore_client_abort", "hsl", Harmless),
        ("allow", "hsl", ACCESS),
        ("deny", "hsl", ACCESS),
        ("satisfy", "hsl", ACCESS),
        ("auth_basic", "hsl", ACCESS),
        ("auth_basic_user_file", "hsl", ACCESS),
        ("auth_request", "hsl", ACCESS),
        ("limit_except", "l", ACCESS),
        ("limit_rate", "hsl", Refused("answers are not delayed")),
        ("geo", "h", Refused("addresses are not looked up")),
        (
            "sticky",
            "u",
            Refused("answers go on as they came, and cookies are part of them"),
        ),
        ("ntlm", "u", Refused("a connection belongs to no caller")),
        (
            "queue",
            "u",
            Refused("requests wait in the matcher, which answers them by their due time"),
        ),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_directive_has_one_fate() {
        let mut names: Vec<_> = table().iter().map(|(name, ..)| *name).collect();
        let count = names.len();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), count);
    }
}
