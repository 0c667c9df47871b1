#!/usr/bin/env node
/** Command-line entry point of a stand-in database server for development and tests. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { startStandIn } from './stand-in/stand-in-server.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('stand-in')
  .strict()
  .option('group', { type: 'string', demandOption: true })
  .option('server', { type: 'string', demandOption: true })
  .option('zone', { type: 'string', default: 'zone-a' })
  .option('address', { type: 'string', demandOption: true })
  .option('announced-address', { type: 'string' })
  .option('command-address', { type: 'string', demandOption: true })
  .option('announce-url', { type: 'string', array: true, default: [] as string[] })
  .option('announce-token', { type: 'string' })
  .option('announce-every-ms', { type: 'number', default: 500 })
  .option('data', { type: 'string' })
  .option('first-primary', { type: 'boolean', default: false })
  .option('follow-url', { type: 'string' })
  .option('lag-ms', { type: 'number', default: 20 })
  .option('slots', { type: 'number', default: 5 })
  .option('connections', { type: 'number', default: 35 })
  .option('connect-cost-ms', { type: 'number', default: 12 })
  .option('statement-cost-ms', { type: 'number', default: 0 })
  .option('password', { type: 'string', default: '' })
  .option('bookings', { type: 'boolean', default: true })
  .parseAsync();

await startStandIn({
  group: options.group,
  server: options.server,
  zone: options.zone,
  address: options.address,
  announcedAddress: options['announced-address'] ?? options.address,
  commandAddress: options['command-address'],
  announceUrls: options['announce-url'],
  announceToken: options['announce-token'],
  announceIntervalMs: options['announce-every-ms'],
  dataFolder: options.data,
  isFirstPrimary: options['first-primary'],
  followUrl: options['follow-url'],
  lagMs: options['lag-ms'],
  slots: options.slots,
  connections: options.connections,
  connectCostMs: options['connect-cost-ms'],
  statementCostMs: options['statement-cost-ms'],
  password: options.password,
  createsBookingsTable: options.bookings,
});
process.stdout.write(`stand-in ${options.server} ready\n`);
