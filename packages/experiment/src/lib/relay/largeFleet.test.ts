import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import { summariseDay } from './summariseDay.js';

// Guards against late chats in a fleet of 64 daemons that each send five requests a second. They learned of
// their peers' requests a second later and without prompts, so they chose engines that peers had just
// filled and mistook the wait for slow prefill ('readRate' fell from 40 to 9; engines prefill 52). They
// reserved 41 of 42 engines for prefill ('readers') and sent chats there: 97 in 100 of these had a pause
// over 250 ms, 19 in 100 chats were in time on this day, and chats earned 0.18 of their worth on a real day.
describe('a large fleet whose engines spend half of the time on prefill', () => {
  it('serves short chats in time during bursts of long prompts', () => {
    const deployment = namedDeployments.histories!();
    const { kinds } = summariseDay(new FleetSimulation(deployment, 1).run());
    const chat = kinds.find(({ name }) => name === 'chat')!;
    expect(chat.inTime / chat.calls).toBeGreaterThan(0.7);
  });
});
