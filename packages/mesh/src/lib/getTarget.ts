import { isIPv4, isIPv6 } from 'node:net';
import { MeshError, MeshFailure } from './MeshError.js';

const MAX_PORT = 65535;

/**
 * The gRPC target of a peer's address. Only IP addresses are accepted: a host name would be resolved
 * for every connection, and a DNS outage would disconnect daemons from each other.
 *
 * @param address - `127.0.0.1:7101` or `[::1]:7101`
 * @throws MeshError when the address is not an IP address with a port
 * @internal
 */
export function getTarget(address: string): string {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  if (isPort && isIPv4(host)) {
    return `ipv4:${address}`;
  }
  if (isPort && host.startsWith('[') && host.endsWith(']') && isIPv6(host.slice(1, -1))) {
    return `ipv6:${address}`;
  }
  throw new MeshError(MeshFailure.Refused, 'the address must be an IP address and a port', {
    step: 'mesh-address',
    peer: address,
  });
}
