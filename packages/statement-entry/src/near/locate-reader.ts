/**
 * Locates the reader of a group in this entry's region: the one entry that holds the connections to the replicas
 * there, and runs the reads of all entries of the region that need not see the newest commits.
 */
import {
  assignmentOf,
  type GroupName,
  groupRecordOf,
  type Incarnation,
  type RecordStore,
  type Resource,
} from '@bramleykeel/core';

export type ReaderLocation =
  | { readonly kind: 'here'; readonly epoch: number }
  | {
      readonly kind: 'elsewhere';
      readonly epoch: number;
      readonly linkAddress: string;
      readonly zone: string | undefined;
    };

export interface ReaderLocatorOptions {
  readonly control: RecordStore & {
    readonly incarnation: () => Incarnation;
    readonly heldEpoch: (resource: Resource) => number | undefined;
  };
  /** The region of this entry. */
  readonly region: string;
  readonly regionOf: (zone: string) => string;
  readonly requestResource: (resource: Resource, zone: string) => void;
}

/**
 * Name of the resource whose holder is the reader of a group in a region.
 *
 * @example
 * readerResource(toGroupName('bookings'), 'erdenet'); // 'reader/bookings@erdenet'
 */
export function readerResource(group: GroupName, region: string): Resource {
  return `reader/${group}@${region}`;
}

/**
 * The group's reader in this region; `undefined` if there is none. Requests one if the group has a replica in the
 * region, in the zone of that replica.
 */
export function locateReader(
  { control, region, regionOf, requestResource }: ReaderLocatorOptions,
  group: GroupName,
): ReaderLocation | undefined {
  const { places, primary } = groupRecordOf(control, group);
  const replica = places?.find(
    ({ server, zone }) => server !== primary && regionOf(zone) === region,
  );
  if (!replica) return undefined;
  const resource = readerResource(group, region);
  const assignment = assignmentOf(control, resource);
  if (!assignment) {
    requestResource(resource, replica.zone);
    return undefined;
  }
  const { epoch, incarnation, linkAddress, zone } = assignment;
  if (incarnation !== control.incarnation()) return { kind: 'elsewhere', epoch, linkAddress, zone };
  return control.heldEpoch(resource) === epoch ? { kind: 'here', epoch } : undefined;
}
