import { SlotWindow } from './SlotWindow.js';
import { slotWindowOptions } from './slotWindowOptions.js';

const SLOTS = 6;

/** Fills the window with attempts that are accepted one after the other. @returns the limit that it reaches */
function fill(window: SlotWindow, now: number): number {
  let inFlight = 0;
  const count = () => ({ inFlight, now, isShared: true });
  for (let attempt = 0; attempt < 4 * SLOTS; attempt += 1) {
    while (inFlight < window.getLimit(count())) {
      inFlight += 1;
      window.recordSent(count());
    }
    window.recordAccepted(count());
  }
  return window.getLimit(count());
}

describe('SlotWindow', () => {
  // Guards against a daemon that takes over and fills slots of which it does not know that they are taken.
  it('starts with one attempt more than is known to be in flight, where others may send as well', () => {
    const window = new SlotWindow(SLOTS);
    expect(window.getLimit({ inFlight: 0, now: 0, isShared: true })).toBe(1);
    expect(window.getLimit({ inFlight: 3, now: 0, isShared: true })).toBe(4);
    expect(window.getLimit({ inFlight: 0, now: 0, isShared: false })).toBe(SLOTS);
  });

  it('grows to the slots while its attempts are accepted', () => {
    expect(fill(new SlotWindow(SLOTS), 0)).toBe(SLOTS);
  });

  // Guards against a placer that was paused and goes on where it was.
  it('starts anew after a while without an attempt', () => {
    const window = new SlotWindow(SLOTS);
    fill(window, 0);
    const now = slotWindowOptions.idleSpan + 1;
    expect(window.getLimit({ inFlight: 2, now, isShared: true })).toBe(3);
  });

  // Guards against further rejections where a replica has lost slots without a word.
  it('halves after a rejection, and stays below it for more than a second', () => {
    const window = new SlotWindow(SLOTS);
    fill(window, 0);
    window.recordRejected({ inFlight: 4, now: 1, isShared: true });
    expect(window.getLimit({ inFlight: 4, now: 1, isShared: true })).toBe(2);
    expect(fill(window, 400)).toBe(4);
    expect(fill(window, 1_000)).toBe(4);
    expect(fill(window, 400 + 2 * slotWindowOptions.minRaiseInterval)).toBe(5);
  });

  it('is not halved again by rejections that were on their way together', () => {
    const window = new SlotWindow(SLOTS);
    fill(window, 0);
    [5, 4, 4].forEach((inFlight) => window.recordRejected({ inFlight, now: 1, isShared: true }));
    expect(window.getLimit({ inFlight: 4, now: 1, isShared: true })).toBe(2);
  });

  it('lets one attempt through, however much was rejected', () => {
    const window = new SlotWindow(SLOTS);
    [0, 200, 400].forEach((now) => window.recordRejected({ inFlight: 0, now, isShared: false }));
    expect(window.getLimit({ inFlight: 0, now: 400, isShared: false })).toBe(1);
  });
});
