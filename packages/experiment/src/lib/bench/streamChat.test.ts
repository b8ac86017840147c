import { EventCounter } from './streamChat.js';

describe('EventCounter', () => {
  it('counts events whatever way the stream is cut', () => {
    const bytes = new TextEncoder().encode('id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n');
    for (let size = 1; size <= bytes.length; size += 1) {
      const counter = new EventCounter();
      for (let start = 0; start < bytes.length; start += size) {
        counter.add(bytes.subarray(start, start + size));
      }
      expect(counter.events).toBe(3);
    }
  });
});
