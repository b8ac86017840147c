import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import { summariseDay } from './summariseDay.js';

// Short chats of a fleet of 64 daemons before 42 engines were late: 19 in 100 in time on this day, and
// of the worth of chats on a real day 0.18 was earned. Each daemon sent five requests a second and heard
// of the others' a second later, without their prompts. So it chose engines that others had just filled,
// took the wait behind prompts that it didn't know of for slow reading ('readRate' fell from 40 to 9 where
// engines read 52), took all engines but one for readers with it ('readers' 41 of 42), and sent chats
// among the prompts; 97 in 100 of these had a pause over 250 ms.
describe('a large fleet before engines that read half of the time', () => {
  it('answers short chats in time beside bursts of long prompts', () => {
    const deployment = namedDeployments.histories!();
    const { kinds } = summariseDay(new FleetSimulation(deployment, 1).run());
    const chat = kinds.find(({ name }) => name === 'chat')!;
    expect(chat.inTime / chat.calls).toBeGreaterThan(0.7);
  });
});
