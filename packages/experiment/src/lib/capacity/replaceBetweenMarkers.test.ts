import { replaceBetweenMarkers } from './replaceBetweenMarkers.js';

const PAGE = 'Before\n\n<!-- capacity:begin -->\n\nold\n\n<!-- capacity:end -->\n\nAfter\n';

describe('replaceBetweenMarkers', () => {
  it('keeps what stands around the markers, and gives the same page again', () => {
    const page = replaceBetweenMarkers(PAGE, 'new\n');
    expect(page).toBe(PAGE.replace('old', 'new'));
    expect(replaceBetweenMarkers(page, 'new\n')).toBe(page);
  });

  it('refuses a page without markers', () => {
    expect(() => replaceBetweenMarkers('text', 'new')).toThrow('capacity:begin');
  });
});
