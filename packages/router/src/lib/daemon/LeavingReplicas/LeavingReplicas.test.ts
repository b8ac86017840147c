import { ManualClock } from '@apricotrill/utils';
import { LeavingReplicas } from './LeavingReplicas.js';

function setUp() {
  const clock = new ManualClock();
  const events: string[] = [];
  const replicas = new LeavingReplicas(clock, {
    onLeaving: (replica) => events.push(`leaving ${replica}`),
    onReturned: (replica) => events.push(`returned ${replica}`),
  });
  return { clock, events, replicas };
}

describe('LeavingReplicas', () => {
  /*
   * Guards against sending requests to a backend server that is still shutting down, half a minute
   * later: a peer's announcement and the server's own load report both say that it is leaving, and
   * the expiry of the announcement is mistaken for its return.
   */
  it('keeps a replica leaving while it reports so itself, even if the announcement expires', () => {
    const { clock, events, replicas } = setUp();
    replicas.recordAnnouncement('engine-1', 1000);
    replicas.recordSelfReport('engine-1');
    clock.advance(2000);
    expect(events).toEqual(['leaving engine-1']);
    replicas.recordReturn('engine-1');
    expect(events).toEqual(['leaving engine-1', 'returned engine-1']);
  });

  /*
   * Guards against announcements that never expire: peers don't revoke them, so a replica that did not
   * leave after all would never get requests again.
   */
  it('expires announcements, counted from the last one', () => {
    const { clock, events, replicas } = setUp();
    replicas.recordAnnouncement('engine-1', 1000);
    clock.advance(600);
    replicas.recordAnnouncement('engine-1', 1000);
    clock.advance(900);
    expect(events).toEqual(['leaving engine-1']);
    clock.advance(100);
    expect(events).toEqual(['leaving engine-1', 'returned engine-1']);
  });
});
