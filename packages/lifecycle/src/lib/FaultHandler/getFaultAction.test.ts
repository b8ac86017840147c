import { FaultAction, faultOptions, getFaultAction } from './getFaultAction.js';

describe('getFaultAction', () => {
  const repeated = {
    hasStarted: true,
    uptime: faultOptions.minUptime,
    faultCount: faultOptions.maxFaults + 1,
    peerCount: 1,
  };

  it('goes on after a fault, and shuts down if faults repeat', () => {
    expect(getFaultAction({ ...repeated, faultCount: 1 })).toBe(FaultAction.GoOn);
    expect(getFaultAction({ ...repeated, faultCount: faultOptions.maxFaults })).toBe(
      FaultAction.GoOn,
    );
    expect(getFaultAction(repeated)).toBe(FaultAction.ShutDown);
  });

  it('ends at once if the process has not started', () => {
    expect(getFaultAction({ ...repeated, hasStarted: false, faultCount: 1 })).toBe(FaultAction.End);
  });

  // Guards against a fault that all daemons meet, which would restart all of them again and again.
  it('goes on shortly after the start, or if no other process can serve', () => {
    const uptime = faultOptions.minUptime - 1;
    expect(getFaultAction({ ...repeated, uptime })).toBe(FaultAction.GoOn);
    expect(getFaultAction({ ...repeated, peerCount: 0 })).toBe(FaultAction.GoOn);
  });
});
