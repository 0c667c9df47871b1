/** Sends statements to owners, in this process or over links to other entries. */
import {
  acceptRollback,
  acceptStatement,
  acceptWithdrawal,
  type EntryChannel,
} from '../owner/owner-app.js';
import { findStatementOwner, type StatementOwnerRegistry } from '../owner/owner-registry.js';
import { encodeStatement } from '../types/link-codec.js';
import type { EntryLinks } from './entry-links.js';
import type { OwnerClientOptions } from './owner-client.js';

type OwnerTransport = Pick<
  OwnerClientOptions,
  | 'sendLocally'
  | 'rollBackLocally'
  | 'withdrawLocally'
  | 'sendOverLink'
  | 'rollBackOverLink'
  | 'withdrawOverLink'
>;

/** @param localChannel returns the outcomes of owners in this process */
export function createOwnerTransport(
  registry: StatementOwnerRegistry,
  localChannel: EntryChannel,
  links: () => EntryLinks,
): OwnerTransport {
  return {
    sendLocally: (group, epoch, request) => {
      const owner = findStatementOwner(registry, group, epoch);
      if (owner) acceptStatement(owner, localChannel, request);
      return owner !== undefined;
    },
    rollBackLocally: (group, epoch, transaction) => {
      const owner = findStatementOwner(registry, group, epoch);
      if (owner) acceptRollback(owner, localChannel, transaction);
    },
    withdrawLocally: (group, epoch, number) => {
      const owner = findStatementOwner(registry, group, epoch);
      if (owner) acceptWithdrawal(owner, localChannel, number);
    },
    sendOverLink: ({ group, epoch, linkAddress }, request) => {
      const encoded = encodeStatement(group, epoch, request);
      return links().linkTo(linkAddress)?.notify('statement/run', encoded) ?? false;
    },
    rollBackOverLink: ({ group, epoch, linkAddress }, transaction) => {
      links().linkTo(linkAddress)?.notify('statement/rollback', [group, epoch, transaction]);
    },
    withdrawOverLink: ({ group, epoch, linkAddress }, number) => {
      links().linkTo(linkAddress)?.notify('statement/withdraw', [group, epoch, number]);
    },
  };
}
