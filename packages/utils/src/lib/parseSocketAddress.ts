import { isIPv4 } from 'node:net';

/** An IPv4 address and a port to which a connection can be opened. */
export interface SocketAddress {
  host: string;
  port: number;
}

const MAX_PORT = 65_535;

/**
 * Parses an IPv4 address and a port.
 *
 * @returns undefined if no connection can be opened to it
 * @example
 * ```ts
 * parseSocketAddress('10.1.0.7:7201'); // { host: '10.1.0.7', port: 7201 }
 * parseSocketAddress('10.1.0.7:70000'); // undefined
 * ```
 * @public
 */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const [, host, digits] = /^([\d.]{7,15}):(\d{1,5})$/.exec(text) ?? [];
  const port = Number(digits);
  const isValid = host !== undefined && isIPv4(host) && port > 0 && port <= MAX_PORT;
  return isValid ? { host, port } : undefined;
}
