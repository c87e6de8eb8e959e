// A gateway that hears of the other processes of its installation; see docs/operate/cluster.md. Nothing on kingston-match
// names it: there matchers do not talk among each other. The keys' file is made by hand and the same on all.
local gateway = import 'gateway.jsonnet';

gateway {
  cluster: {
    listen: '127.0.0.1:7946',
    contacts: ['127.0.0.1:7946', '127.0.0.1:7947', '127.0.0.1:7948'],
    zone: 'mona',
    host: 'h1',
    keys: 'cluster.keys',
    folder: '/var/lib/cleatpulley/gateway',
  },
}
