/** The door of the peers folder. */
export {encodeFrame, FrameReader, FrameError} from './frame.js';
export {Link, type LinkHandlers} from './link.js';
export {Mesh, type MeshOptions, type Peer} from './mesh.js';
