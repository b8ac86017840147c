import { AdmissionScenario } from '../../../test/AdmissionScenario.js';

const SIZES = [3, 20];

/** Requests a second: more than twice what the engines can do. */
const OVERLOAD = 50;

describe.each(SIZES)('admission in a fleet of %d daemons', (size) => {
  // Load pattern: for three seconds, requests at all daemons ask for more than twice what engines can do.
  it('refuses what would be late before it is sent, and serves the rest', () => {
    const scenario = new AdmissionScenario(size);
    const ids = scenario.load(OVERLOAD, 3_000);
    scenario.settle();
    scenario.check();
    // The engines do some twenty requests a second, and hold no more than their slots.
    expect(scenario.getCount(ids, 'settle')).toBeGreaterThanOrEqual(55);
    scenario.fleet.engines.forEach(({ mostHeld }) => expect(mostHeld).toBeLessThanOrEqual(4));
    scenario.checkCalm();
  });
});
