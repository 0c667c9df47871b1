/** Finds out whether anything listens at an address, without speaking any protocol. */
import { createConnection } from 'node:net';
import { splitAddress } from '@bramleykeel/core';

export type AddressProbe = 'answered' | 'refused' | 'silent';

/**
 * Tries to connect. `refused` proves that no process is bound to the address; `silent` proves nothing.
 *
 * @example
 * await probeAddress('127.0.0.1:7001', 500); // 'refused'
 */
export function probeAddress(address: string, timeoutMs: number): Promise<AddressProbe> {
  return new Promise((resolve) => {
    const socket = createConnection(splitAddress(address));
    const finish = (result: AddressProbe) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish('silent');
    }, timeoutMs);
    socket.once('connect', () => {
      finish('answered');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });
}
