/** Calls back after one complete iteration of the event loop, with all events that are due in it. */
export function waitForIteration(callback: () => void): void {
  setImmediate(() => {
    setImmediate(callback);
  });
}
