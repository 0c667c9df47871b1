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
