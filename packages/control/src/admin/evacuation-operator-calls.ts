/** Operator calls that order and withdraw evacuations of zones. */
import {
  BOOTSTRAP_OPERATOR,
  type ControlState,
  isInSubtree,
  operatorSetting,
  evacuationKey,
} from '@bramleykeel/core';
import { z } from 'zod';
import { changeEvacuation, readEvacuationIndex } from '../evacuation-calls.js';
import type { LeaderService } from '../leader/leader-service.js';
import { type CallAnswer, failure } from './call-answer.js';

/** As in announcements of targets: any zone may be evacuated, also one whose targets are all unreachable. */
const zoneSchema = z.string().min(1).max(64);
const indexSchema = z.strictObject({ zone: zoneSchema });
const changeSchema = z.strictObject({ zone: zoneSchema, expectedIndex: z.int().nonnegative() });

/** Returns the index that `evacuation/order` and `evacuation/withdraw` have to name. */
export function handleEvacuationIndex(service: LeaderService, params: unknown): CallAnswer {
  const parsed = indexSchema.safeParse(params);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  return { kind: 'ok', result: readEvacuationIndex(service, parsed.data.zone) };
}

/** Orders or withdraws an evacuation unless another call for the zone was accepted since the index was read. */
export async function handleEvacuationChange(
  service: LeaderService,
  operator: string,
  params: unknown,
  isOrdered: boolean,
): Promise<CallAnswer> {
  const parsed = changeSchema.safeParse(params);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  const { zone } = parsed.data;
  if (!mayEvacuate(service.driver.control(), operator, zone)) {
    return failure('denied', `operator ${operator} does not own ${evacuationKey(zone)}`);
  }
  const { kind } = await changeEvacuation(service, { ...parsed.data, isOrdered });
  if (kind === 'accepted') return { kind: 'ok', result: { zone, isEvacuated: isOrdered } };
  if (kind === 'superseded') return failure('conflict', `the evacuation of ${zone} has changed`);
  return failure('unavailable', 'the control leader changed; try again');
}

/** Operators may evacuate a zone if one of their subtrees includes `evacuations/ZONE`. */
function mayEvacuate(control: ControlState, operator: string, zone: string): boolean {
  if (operator === BOOTSTRAP_OPERATOR) return true;
  const subtrees = operatorSetting(control, operator)?.subtrees ?? [];
  return subtrees.some((prefix) => isInSubtree(evacuationKey(zone), prefix));
}
