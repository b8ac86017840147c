import { CallResult } from '@apricotrill/duties';
import type { LeaseStore } from '@apricotrill/lease';
import { advanceClock } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import type { RelayEvent } from '../../observe/RelayEvent.js';
import type { DutyUpdate } from '../DutyUpdate.js';
import { FleetDuties, fleetDutyOptions } from './FleetDuties.js';

const SELF = { id: 'd-1', address: '127.0.0.1:1', availabilityZone: 'zone-a' };

type StoredObject = NonNullable<Awaited<ReturnType<LeaseStore['get']>>>;

/** Creates a store in memory. */
function createStore(): LeaseStore {
  const objects = new Map<string, StoredObject>();
  return {
    get: async (key) => objects.get(key),
    put: async (key, value, expectedVersion) => {
      const current = objects.get(key);
      if ((current?.version ?? 0) !== expectedVersion) {
        return { kind: 'conflict', current };
      }
      const version = expectedVersion + 1;
      objects.set(key, { key, value, version });
      return { kind: 'accepted', version };
    },
  };
}

describe('FleetDuties', () => {
  const clock = new ManualClock();
  let events: RelayEvent[];
  let sent: DutyUpdate[];
  let isFailing: boolean;
  let duties: FleetDuties;

  beforeEach(() => {
    events = [];
    sent = [];
    isFailing = false;
    duties = new FleetDuties({
      self: SELF,
      clock,
      log: (event) => events.push(event),
      store: createStore(),
      platform: {
        reportUsage: async () => CallResult.Accepted,
        orderReplicas: async () => CallResult.Accepted,
      },
      settings: { windowSpan: 1_000, usageDelay: 10_000, holderCooldown: 3_000 },
      send: (update) => {
        if (isFailing) {
          throw new Error('provoked error');
        }
        sent.push(update);
      },
      getServices: () => [],
    });
  });

  afterEach(() => duties.dispose());

  // Guards against usage reported without the requests of other daemons, by a daemon whose port is
  // not open: it knows of no others, and each counts as preferred in a fleet of its own.
  it('takes the lease only once the daemon can receive updates', async () => {
    await advanceClock(clock, 60_000);
    expect(events).toEqual([]);
    duties.setLinked(true);
    await advanceClock(clock, 20_000);
    expect(duties.status.isHolder).toBe(true);
  });

  // Guards against a daemon that shuts down and takes the lease again after its successor opened the
  // port.
  it('does not take the lease again after the port was closed', async () => {
    duties.setLinked(true);
    await advanceClock(clock, 20_000);
    expect(duties.status.isHolder).toBe(true);
    const stopped = duties.stop();
    duties.setLinked(false);
    await advanceClock(clock, 60_000);
    await stopped;
    const leaseEvents = events
      .map(({ event }) => event)
      .filter((name) => name.startsWith('lease-'));
    expect(leaseEvents).toEqual(['lease-gained', 'lease-lost']);
  });

  // Guards against requests that are missing in the report of a daemon's last window before it is idle.
  it('sends its counts after an error', async () => {
    duties.setFleet([SELF, { ...SELF, id: 'd-2', address: '127.0.0.1:2' }]);
    isFailing = true;
    duties.recordRunStart('shop', clock.now());
    await advanceClock(clock, fleetDutyOptions.sendInterval);
    isFailing = false;
    await advanceClock(clock, fleetDutyOptions.sendsPerFullSend * fleetDutyOptions.sendInterval);
    expect(sent).toContainEqual(
      expect.objectContaining({
        kind: 'usage',
        usage: expect.objectContaining({ counts: [['shop', 1]] }),
      }),
    );
    expect(events).toContainEqual(
      expect.objectContaining({ event: 'fault', step: 'send counts of usage' }),
    );
  });
});
