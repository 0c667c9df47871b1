/**
 * Keeps V8 from optimizing the SQL parser's WebAssembly code, which takes 27 to 44 MB that the allocator keeps for the
 * compiler's threads, in a process that has about 90 MB for all but its heap. Parsing a statement takes 55 us of
 * processor time in place of 50 us, and the first 5,000 statements take 70 us in place of 170 us.
 *
 * Has to be imported before the parser, which is compiled while its module is loaded.
 */
import { setFlagsFromString } from 'node:v8';

setFlagsFromString('--no-wasm-tier-up');
setFlagsFromString('--no-wasm-dynamic-tiering');
