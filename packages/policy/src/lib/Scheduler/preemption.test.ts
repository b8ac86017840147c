import { getBrief, Harness } from '../../test/Harness.js';
import { classes, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, CancelReason } from '../messages.js';

function submit(harness: Harness, id: string, name: keyof typeof classes) {
  return getBrief(harness.submit(createRequest(id, classes[name])));
}

/** A scheduler whose one replica runs these requests and reports itself full. */
function createFull(...names: (keyof typeof classes)[]): Harness {
  const harness = new Harness({ slots: names.length, options: { reserve: 0, ahead: 0 } });
  names.forEach((name) => {
    submit(harness, name, name);
    harness.progress(name, 8);
  });
  const measuredAt = harness.clock.now();
  const report = { replica: 'replica-1', running: names.length, waiting: 0, measuredAt };
  harness.tell({ kind: 'load-report', report });
  return harness;
}

describe('preemption', () => {
  it('stops the least urgent for an urgent request at once, and lets it go on later', () => {
    // Symptom: a gate check waits for a draft to be written. Sequence: drafts hold all slots.
    const harness = createFull('draft', 'chat');
    expect(submit(harness, 'gate', 'gate')).toEqual(['cancel draft', 'dispatch gate']);
    expect(harness.getAll('cancel').at(-1)!.reason).toBe(CancelReason.Preempted);
    harness.end('draft', AttemptStatus.Cancelled);
    expect(getBrief(harness.end('gate', AttemptStatus.Completed))).toEqual([
      'done gate',
      'dispatch draft',
    ]);
    expect(harness.getDispatch('draft').resumeAt).toBe(8);
  });

  it('stops it also when the limit would let the urgent request wait at the replica', () => {
    const harness = new Harness({ slots: 2 });
    ['draft-1', 'draft-2'].forEach((id) => submit(harness, id, 'draft'));
    const measuredAt = harness.clock.now();
    const report = { replica: 'replica-1', running: 2, waiting: 0, measuredAt };
    harness.tell({ kind: 'load-report', report });
    expect(submit(harness, 'gate', 'gate')).toEqual(['cancel draft-2', 'dispatch gate']);
  });

  it('stops nothing of an equal or more urgent tier, and nothing that may not be or can not go on', () => {
    // Symptom: an order hold is cut off by a gate check, and frozen. Cause: any lower tier would do.
    const harness = createFull('hold');
    expect(submit(harness, 'gate', 'gate')).toEqual(['dispatch gate']);
    const spared = createFull('summary');
    expect(submit(spared, 'gate', 'gate')).toEqual(['dispatch gate']);
    const begun = createFull('report');
    expect(submit(begun, 'gate', 'gate')).toEqual(['dispatch gate']);
    const equal = createFull('chat');
    expect(submit(equal, 'other', 'chat')).toEqual([]);
    expect(equal.advance(3000)).toEqual([]);
  });

  it('does not go on before the stopped attempt has ended, and counts what it still gave', () => {
    // Symptom: the caller gets a token twice. Sequence: a draft is stopped, resumed at once, and
    // its first attempt still hands over a token that had arrived. Cause: resumed too early.
    const harness = createFull('draft');
    submit(harness, 'gate', 'gate');
    harness.end('gate', AttemptStatus.Completed);
    harness.progress('draft', 3);
    expect(getBrief(harness.end('draft', AttemptStatus.Cancelled))).toEqual(['dispatch draft']);
    expect(harness.getDispatch('draft').resumeAt).toBe(11);
  });

  it('goes on when the owner never reports the end of what it was told to stop', () => {
    const harness = createFull('draft');
    submit(harness, 'gate', 'gate');
    harness.end('gate', AttemptStatus.Completed);
    expect(getBrief(harness.advance(249))).toEqual([]);
    expect(getBrief(harness.advance(1))).toEqual(['dispatch draft']);
  });

  it('is done when the whole answer came before the owner could stop it', () => {
    const harness = createFull('draft');
    submit(harness, 'gate', 'gate');
    expect(getBrief(harness.end('draft', AttemptStatus.Completed))).toEqual(['done draft']);
  });

  it('leaves a request alone after its second preemption', () => {
    // Symptom: a draft never ends. Sequence: each time it runs, the next gate check stops it.
    const harness = createFull('draft');
    ['gate-1', 'gate-2', 'gate-3'].forEach((gate) => {
      submit(harness, gate, 'gate');
      harness.end(gate, AttemptStatus.Completed);
      harness.advance(250);
    });
    expect(harness.getAll('cancel').length).toBe(2);
  });

  it('stops a draft for a question only when that has waited at the replica', () => {
    // Symptom: drafts have their prompts computed again and again. Sequence: short questions come
    // all the time and each stops one at once, though a slot would soon have been free.
    const harness = createFull('draft', 'report');
    expect(submit(harness, 'chat', 'chat')).toEqual(['dispatch chat']);
    expect(harness.advance(374)).toEqual([]);
    expect(getBrief(harness.advance(1))).toEqual(['cancel draft']);
    // A draft that has not answered may be waiting itself: stopping it would free nothing.
    const early = new Harness({ slots: 1, options: { reserve: 0, ahead: 0 } });
    submit(early, 'draft', 'draft');
    submit(early, 'chat', 'chat');
    expect(early.advance(600)).toEqual([]);
    early.progress('draft');
    expect(getBrief(early.advance(150))).toEqual(['cancel draft']);
    const answered = createFull('draft');
    submit(answered, 'chat', 'chat');
    answered.progress('chat');
    expect(answered.advance(2000)).toEqual([]);
  });
});
