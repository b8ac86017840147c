import { SetupTime, setupTimeOptions } from './SetupTime.js';

describe('SetupTime', () => {
  it('is the initial value before anything was seen', () => {
    expect(new SetupTime().value).toBe(setupTimeOptions.initial);
  });

  // Guards against a rate that rises without end, since waits that are all alike count as setup.
  it('counts waits of long prompts as prefill while they are all alike', () => {
    const setupTime = new SetupTime();
    Array.from({ length: 30 }).forEach(() => setupTime.recordLong(4_000, 108));
    expect(setupTime.value).toBe(0);
  });

  it('follows short prompts once one was seen', () => {
    const setupTime = new SetupTime();
    Array.from({ length: 30 }).forEach(() => setupTime.recordLong(4_000, 108));
    Array.from({ length: 20 }).forEach(() => setupTime.record(30));
    expect(setupTime.value).toBe(30);
  });
});
