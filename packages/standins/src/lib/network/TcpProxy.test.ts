import { readFile } from 'node:fs/promises';
import { TcpProxy } from './TcpProxy.js';

const EPHEMERAL_PORTS = '/proc/sys/net/ipv4/ip_local_port_range';

/** Returns the first port that the system assigns to connections and servers that ask for any. */
async function getFirstEphemeralPort(): Promise<number> {
  const range = await readFile(EPHEMERAL_PORTS, 'utf8');
  return Number(range.split(/\s+/)[0]);
}

describe('TcpProxy', () => {
  // Guards against another server at the proxy's address while the proxy refuses connections.
  it('listens on a port that is not assigned to others while it refuses connections', async () => {
    const proxies = Array.from({ length: 8 }, () => new TcpProxy(1));
    const ports = await Promise.all(proxies.map((proxy) => proxy.listen()));
    proxies.forEach((proxy) => proxy.dispose());
    const limit = await getFirstEphemeralPort();
    expect(ports.filter((port) => port >= limit)).toEqual([]);
  });

  it('listens again on the same port', async () => {
    const proxy = new TcpProxy(1);
    const port = await proxy.listen();
    proxy.stopListening();
    expect(proxy.isListening).toBe(false);
    await proxy.reopen(port);
    expect(proxy.isListening).toBe(true);
    proxy.dispose();
  });
});
