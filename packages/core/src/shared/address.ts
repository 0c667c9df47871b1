/** Socket addresses of the form IP:PORT. */

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits `IP:PORT`. IPv6 addresses must be in brackets.
 *
 * @example
 * splitAddress('127.0.0.1:5432'); // { host: '127.0.0.1', port: 5432 }
 */
export function splitAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

const MAX_PORT = 65_535;
const MAX_OCTET = 255;

/**
 * Whether a text is an IPv4 address and port to which a connection can be opened. Node.js throws on other ports, and
 * looks up other hosts by name.
 *
 * @example
 * isSocketAddress('10.1.0.26:8465'); // true
 * isSocketAddress('10.1.0.26:99999'); // false
 */
export function isSocketAddress(text: string): boolean {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(text)) return false;
  const { host, port } = splitAddress(text);
  const hasValidHost = host.split('.').every((octet) => Number(octet) <= MAX_OCTET);
  return hasValidHost && port >= 1 && port <= MAX_PORT;
}
