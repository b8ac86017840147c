import { createDeployments } from '../deployments/deployments.js';
import { createCalls } from './createCalls.js';
import { getSlotTime } from './getCapacity.js';

const SPAN = 10_000;

const LOAD = 0.3;

describe('createCalls', () => {
  const { liitto } = createDeployments();
  const run = { seed: 3, span: SPAN, curve: () => LOAD };

  it('creates the same calls for the same seed and different calls for another', () => {
    const calls = createCalls(liitto!, run);
    expect(createCalls(liitto!, run)).toEqual(calls);
    expect(createCalls(liitto!, { ...run, seed: 4 })).not.toEqual(calls);
  });

  it('creates the load that the curve specifies', () => {
    const calls = createCalls(liitto!, run);
    const slots = 4 * 32;
    const profile = liitto!.traffic[0]!;
    const own = calls.filter(({ service }) => service === 'jasenportaali');
    const load = (own.length * getSlotTime(liitto!, profile)) / (slots * SPAN);
    expect(load).toBeCloseTo(LOAD, 1);
  });

  it('assigns most calls to a few workspaces', () => {
    const calls = createCalls(liitto!, run);
    const largest = liitto!.configuration.register.workspaces.slice(0, 3).map(({ name }) => name);
    const theirs = calls.filter(({ workspace }) => largest.includes(workspace));
    expect(theirs.length / calls.length).toBeGreaterThan(0.5);
  });
});
