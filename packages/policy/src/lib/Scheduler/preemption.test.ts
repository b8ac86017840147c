import { summarizeEffects, Harness } from '../../test/Harness.js';
import { classes, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, CancelReason } from '../messages.js';

function submit(harness: Harness, id: string, name: keyof typeof classes) {
  return summarizeEffects(harness.submit(createRequest(id, classes[name])));
}

/** Creates a harness whose only replica runs one request per class and reports that it is full. */
function createFullHarness(...names: (keyof typeof classes)[]): Harness {
  const harness = new Harness({
    slots: names.length,
    options: { reservedSlotRatio: 0, replicaQueueRatio: 0 },
  });
  names.forEach((name) => {
    submit(harness, name, name);
    harness.progress(name, 8);
  });
  const measuredAt = harness.clock.now();
  const report = { replica: 'replica-1', running: names.length, waiting: 0, measuredAt };
  harness.send({ kind: 'load-report', report });
  return harness;
}

describe('preemption', () => {
  it('preempts the least urgent request at once for an urgent one, and resumes it later', () => {
    // Guards against an urgent request that waits for a long response while drafts hold all slots.
    const harness = createFullHarness('draft', 'chat');
    expect(submit(harness, 'gate', 'gate')).toEqual(['cancel draft', 'dispatch gate']);
    expect(harness.getEffects('cancel').at(-1)!.reason).toBe(CancelReason.Preempted);
    harness.endAttempt('draft', AttemptStatus.Cancelled);
    expect(summarizeEffects(harness.endAttempt('gate', AttemptStatus.Completed))).toEqual([
      'done gate',
      'dispatch draft',
    ]);
    expect(harness.getDispatch('draft').resumeAt).toBe(8);
  });

  it('preempts even if the limit would allow the urgent request to wait at the replica', () => {
    const harness = new Harness({ slots: 2 });
    ['draft-1', 'draft-2'].forEach((id) => submit(harness, id, 'draft'));
    const measuredAt = harness.clock.now();
    const report = { replica: 'replica-1', running: 2, waiting: 0, measuredAt };
    harness.send({ kind: 'load-report', report });
    expect(submit(harness, 'gate', 'gate')).toEqual(['cancel draft-2', 'dispatch gate']);
  });

  it('spares equal or more urgent tiers and requests that are not preemptible or resumable', () => {
    // Guards against choosing victims by their tier alone: an order hold is less urgent than a gate
    // check, but it can't be resumed.
    const harness = createFullHarness('hold');
    expect(submit(harness, 'gate', 'gate')).toEqual(['dispatch gate']);
    const unpreemptible = createFullHarness('summary');
    expect(submit(unpreemptible, 'gate', 'gate')).toEqual(['dispatch gate']);
    const unresumable = createFullHarness('report');
    expect(submit(unresumable, 'gate', 'gate')).toEqual(['dispatch gate']);
    const sameTier = createFullHarness('chat');
    expect(submit(sameTier, 'other', 'chat')).toEqual([]);
    expect(sameTier.advance(3000)).toEqual([]);
  });

  it('resumes only after the cancelled attempt has ended, and counts its last tokens', () => {
    // Guards against delivering a token twice: the cancelled attempt may still deliver tokens that
    // had already arrived, and an attempt resumed too early would deliver them again.
    const harness = createFullHarness('draft');
    submit(harness, 'gate', 'gate');
    harness.endAttempt('gate', AttemptStatus.Completed);
    harness.progress('draft', 3);
    expect(summarizeEffects(harness.endAttempt('draft', AttemptStatus.Cancelled))).toEqual([
      'dispatch draft',
    ]);
    expect(harness.getDispatch('draft').resumeAt).toBe(11);
  });

  it('resumes when the owner does not report the end of the cancelled attempt in time', () => {
    const harness = createFullHarness('draft');
    submit(harness, 'gate', 'gate');
    harness.endAttempt('gate', AttemptStatus.Completed);
    expect(summarizeEffects(harness.advance(249))).toEqual([]);
    expect(summarizeEffects(harness.advance(1))).toEqual(['dispatch draft']);
  });

  it('completes a request whose response was complete before it could be cancelled', () => {
    const harness = createFullHarness('draft');
    submit(harness, 'gate', 'gate');
    expect(summarizeEffects(harness.endAttempt('draft', AttemptStatus.Completed))).toEqual([
      'done draft',
    ]);
  });

  it('does not preempt a request a third time', () => {
    // Guards against a draft that never ends because it is preempted each time it runs.
    const harness = createFullHarness('draft');
    ['gate-1', 'gate-2', 'gate-3'].forEach((gate) => {
      submit(harness, gate, 'gate');
      harness.endAttempt(gate, AttemptStatus.Completed);
      harness.advance(250);
    });
    expect(harness.getEffects('cancel').length).toBe(2);
  });

  it('preempts for a request that is not urgent only after it has waited at the replica', () => {
    // Guards against computing the prompts of drafts again and again: short requests arrive all the
    // time, and each would preempt a draft although a slot would soon be free.
    const harness = createFullHarness('draft', 'report');
    expect(submit(harness, 'chat', 'chat')).toEqual(['dispatch chat']);
    expect(harness.advance(374)).toEqual([]);
    expect(summarizeEffects(harness.advance(1))).toEqual(['cancel draft']);
    // A draft without a first token may itself be queued at the replica: cancelling it frees no slot.
    const beforeFirstToken = new Harness({
      slots: 1,
      options: { reservedSlotRatio: 0, replicaQueueRatio: 0 },
    });
    submit(beforeFirstToken, 'draft', 'draft');
    submit(beforeFirstToken, 'chat', 'chat');
    expect(beforeFirstToken.advance(600)).toEqual([]);
    beforeFirstToken.progress('draft');
    expect(summarizeEffects(beforeFirstToken.advance(150))).toEqual(['cancel draft']);
    const afterFirstToken = createFullHarness('draft');
    submit(afterFirstToken, 'chat', 'chat');
    afterFirstToken.progress('chat');
    expect(afterFirstToken.advance(2000)).toEqual([]);
  });
});
