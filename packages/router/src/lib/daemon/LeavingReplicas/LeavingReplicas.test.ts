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
   * Symptom: a backend server that is shutting down gets new work again after half a minute.
   * Sequence: a peer's word and its own load report both say that it leaves; the word runs out.
   * Cause: the end of one source's word was taken for the server's return.
   */
  it('keeps a replica that still says it is leaving when the word of others runs out', () => {
    const { clock, events, replicas } = setUp();
    replicas.noteWord('engine-1', 1000);
    replicas.noteItself('engine-1');
    clock.advance(2000);
    expect(events).toEqual(['leaving engine-1']);
    replicas.noteReturned('engine-1');
    expect(events).toEqual(['leaving engine-1', 'returned engine-1']);
  });

  /*
   * Symptom: a replica that stayed after all gets no work for good.
   * Sequence: a peer says that it is leaving; nobody ever takes it back.
   * Cause: word without an end.
   */
  it('lets word of others run out, counted from the last', () => {
    const { clock, events, replicas } = setUp();
    replicas.noteWord('engine-1', 1000);
    clock.advance(600);
    replicas.noteWord('engine-1', 1000);
    clock.advance(900);
    expect(events).toEqual(['leaving engine-1']);
    clock.advance(100);
    expect(events).toEqual(['leaving engine-1', 'returned engine-1']);
  });
});
