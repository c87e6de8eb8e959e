// TLS on the fronts, for an installation that has the files that `cleatpulley certs` makes in ../certs
// (docs/operate/tls.md). Nothing on kingston-match names this file: TLS is off there.
{
  tls: {
    certificate: '../certs/n1.pem',
    key: '../certs/n1.key',
    clients: { roots: '../certs/ca.pem', required: false },
    on: ['frames', 'mgmt'],
    tickets: { secret: '../certs/tickets.key' },
    permits: { 'claim-seat': ['fe-1'] },
    handshakes: { per_second: 500, at_once: 32, deadline_ms: 3000 },
  },
}
