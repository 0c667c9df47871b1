import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  applyCommand,
  type ControlState,
  createControlState,
} from '../control-state/control-state.js';
import { exportControlState, importControlState } from '../control-state/snapshot.js';
import { recordsSince } from '../control-state/views.js';
import {
  evacuatedZones,
  evacuationIndexOf,
  type EvacuationCommand,
  listEvacuations,
} from './evacuations.js';

const ZONE = 'ub-a';

function commandOf(
  isOrder: boolean,
  expectedIndex: number,
  zone = ZONE,
  wallClockMs = 1_000,
): EvacuationCommand {
  return isOrder
    ? { kind: 'evacuation/order', zone, expectedIndex, wallClockMs }
    : { kind: 'evacuation/withdraw', zone, expectedIndex };
}

function applyNext(state: ControlState, command: EvacuationCommand): string {
  return applyCommand(state, state.appliedIndex + 1, command).kind;
}

/** A state in which the zone was ordered (index 1) and, if it is not evacuated, withdrawn (index 2). */
function createState(isEvacuated: boolean): ControlState {
  const state = createControlState();
  applyNext(state, commandOf(true, 0));
  if (!isEvacuated) applyNext(state, commandOf(false, 1));
  return state;
}

describe('an order or withdrawal', () => {
  it.each([
    { call: 'order', isOrder: true, isEvacuated: false, expectedIndex: 2, result: 'done' },
    { call: 'withdrawal', isOrder: false, isEvacuated: true, expectedIndex: 1, result: 'done' },
    { call: 'order again', isOrder: true, isEvacuated: true, expectedIndex: 1, result: 'done' },
    {
      call: 'withdrawal again',
      isOrder: false,
      isEvacuated: false,
      expectedIndex: 2,
      result: 'done',
    },
    {
      call: 'order from before the withdrawal',
      isOrder: true,
      isEvacuated: false,
      expectedIndex: 1,
      result: 'superseded',
    },
    {
      call: 'withdrawal from before the order',
      isOrder: false,
      isEvacuated: true,
      expectedIndex: 0,
      result: 'superseded',
    },
    {
      call: 'order with an index that is not there yet',
      isOrder: true,
      isEvacuated: false,
      expectedIndex: 9,
      result: 'superseded',
    },
  ])('$call, evacuated: $isEvacuated, at $expectedIndex: $result', (each) => {
    const state = createState(each.isEvacuated);
    expect(applyNext(state, commandOf(each.isOrder, each.expectedIndex))).toBe(each.result);
    const isEvacuatedAfter = each.result === 'done' ? each.isOrder : each.isEvacuated;
    expect(evacuatedZones(state).has(ZONE)).toBe(isEvacuatedAfter);
  });

  it('that changes nothing keeps the time of the first order', () => {
    const state = createState(true);
    expect(applyNext(state, commandOf(true, 1, ZONE, 5_000))).toBe('done');
    expect(listEvacuations(state)).toEqual([{ zone: ZONE, orderedAtMs: 1_000 }]);
  });

  // Guards against a withdrawal that its caller gave up, and that is delivered after a newer order was acknowledged.
  it.each([true, false])(
    'that changes nothing supersedes earlier messages, evacuated: %s',
    (isEvacuated) => {
      const state = createState(isEvacuated);
      const expectedIndex = evacuationIndexOf(state, ZONE);
      applyNext(state, commandOf(isEvacuated, expectedIndex));
      expect(applyNext(state, commandOf(!isEvacuated, expectedIndex))).toBe('superseded');
      expect(evacuatedZones(state).has(ZONE)).toBe(isEvacuated);
    },
  );

  it('of one zone leaves the others as they are', () => {
    const state = createState(true);
    applyNext(state, commandOf(true, 0, 'ub-b'));
    applyNext(state, commandOf(false, 1));
    expect([...evacuatedZones(state)]).toEqual(['ub-b']);
  });

  it('reaches entries as a change of one record', () => {
    const ordered = recordsSince(createState(true), 0);
    expect(ordered).toEqual([
      {
        key: 'evacuations/ub-a',
        stored: {
          record: { kind: 'evacuation', evacuation: { zone: ZONE, orderedAtMs: 1_000 } },
          modifiedIndex: 1,
        },
      },
    ]);
    const withdrawn = recordsSince(createState(false), 1);
    expect(withdrawn.map(({ key, stored }) => [key, stored.record.kind])).toEqual([
      ['evacuations/ub-a', 'removed'],
    ]);
  });

  it.each([true, false])('is kept by a snapshot with its index, evacuated: %s', (isEvacuated) => {
    const state = createState(isEvacuated);
    const restored = importControlState(structuredClone(exportControlState(state)));
    expect(listEvacuations(restored)).toEqual(listEvacuations(state));
    expect(evacuationIndexOf(restored, ZONE)).toBe(isEvacuated ? 1 : 2);
    expect(applyNext(restored, commandOf(!isEvacuated, 0))).toBe('superseded');
  });
});

/** A call of an operator, sent one or more times because the answer was late. */
interface Call {
  readonly zone: string;
  readonly isOrder: boolean;
  readonly resends: number;
  /** Whether the caller gives up without an answer; its messages may still arrive. */
  readonly isAbandoned: boolean;
}

describe('calls in random order with resends and delayed duplicates', () => {
  const callArbitrary: fc.Arbitrary<Call> = fc.record({
    zone: fc.constantFrom('ub-a', 'ub-b'),
    isOrder: fc.boolean(),
    resends: fc.integer({ min: 1, max: 3 }),
    isAbandoned: fc.boolean(),
  });
  /** Each event decides which delayed message arrives, and whether a snapshot is installed before. */
  const eventsArbitrary = fc.array(fc.nat({ max: 1_000 }), { maxLength: 6 });

  it('keep the state of the last acknowledged call of each zone', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(callArbitrary, eventsArbitrary)), (steps) => {
        let state = createControlState();
        const acknowledged = new Map<string, boolean>();
        const delayed: EvacuationCommand[] = [];

        for (const [{ zone, isOrder, resends, isAbandoned }, events] of steps) {
          // While a call is under way, its messages may take effect.
          acknowledged.delete(zone);
          const sent = commandOf(isOrder, evacuationIndexOf(state, zone), zone);
          for (let count = 0; count < resends; count += 1) delayed.push(sent);
          deliverSome(events);
          if (!isAbandoned) {
            const current = commandOf(isOrder, evacuationIndexOf(state, zone), zone);
            expect(applyNext(state, current)).toBe('done');
            acknowledged.set(zone, isOrder);
          }
          deliverSome(events);
          for (const [name, isEvacuated] of acknowledged)
            expect(evacuatedZones(state).has(name)).toBe(isEvacuated);
        }

        function deliverSome(events: readonly number[]): void {
          for (const event of events) {
            if (event % 7 === 0)
              state = importControlState(structuredClone(exportControlState(state)));
            const message = delayed[event % (delayed.length + 1)];
            if (message) applyNext(state, message);
          }
        }
      }),
      { seed: 20_261_206, numRuns: 500 },
    );
  });

  it('let only one of two calls take effect from the same index', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(fc.boolean(), fc.boolean()), { minLength: 1 }), (pairs) => {
        const state = createControlState();
        for (const [first, second] of pairs) {
          const expectedIndex = evacuationIndexOf(state, ZONE);
          expect(applyNext(state, commandOf(first, expectedIndex))).toBe('done');
          expect(applyNext(state, commandOf(second, expectedIndex))).toBe('superseded');
          expect(evacuatedZones(state).has(ZONE)).toBe(first);
        }
      }),
      { seed: 20_261_206 },
    );
  });
});
