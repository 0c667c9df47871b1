/** Finds out whether anything listens at an address, and whether it answers. */
import { createConnection } from 'node:net';
import { type ProbeResult, splitAddress } from '@bramleykeel/core';
import { startInputDeadline } from './input-deadline.js';

/**
 * Tries to connect, and sends `request` if one is given: then only a byte in return counts as an
 * answer, because the system accepts connections for a frozen process too.
 *
 * `refused` proves that no process is bound to the address; `silent` proves nothing.
 *
 * @example
 * await probeAddress('127.0.0.1:7001', 500); // 'refused'
 */
export function probeAddress(
  address: string,
  timeoutMs: number,
  request?: Buffer,
): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = createConnection(splitAddress(address));
    const finish = (result: ProbeResult) => {
      endDeadline();
      socket.destroy();
      resolve(result);
    };
    const endDeadline = startInputDeadline(timeoutMs, () => {
      finish('silent');
    });
    socket.once('connect', () => {
      if (request) socket.write(request);
      else finish('answered');
    });
    socket.once('data', () => {
      finish('answered');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
    socket.once('end', () => {
      finish('silent');
    });
  });
}
