package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/standin"
)

// Sizes of photos in bytes.
const (
	smallestPhoto = 64 << 10
	largestPhoto  = 512 << 10
)

var errDigest = errors.New("the digest differs")

// uploads are photos sent to the other service, checked by their digest.
type uploads struct {
	world   *world
	log     *progress
	sent    atomic.Int64
	whole   atomic.Int64
	running sync.WaitGroup
}

// start uploads one photo whose bytes the seed determines.
func (u *uploads) start(ctx context.Context, seed uint64) {
	u.sent.Add(1)
	u.running.Go(func() {
		if err := u.upload(ctx, photo(seed)); err != nil {
			u.log.printf("an upload failed: %v", err)
			return
		}
		u.whole.Add(1)
	})
}

func photo(seed uint64) []byte {
	source := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, smallestPhoto+source.IntN(largestPhoto-smallestPhoto))
	for i := range b {
		b[i] = byte(source.Uint32())
	}
	return b
}

func (u *uploads) upload(ctx context.Context, body []byte) error {
	c, err := u.world.dialer.dial(ctx, clientAddress, u.world.photos)
	if err != nil {
		return err
	}
	defer c.close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, u.world.url(standin.PhotoPath), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	u.world.checkPool(response, u.world.deployment.photos.pool)
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := sha256.Sum256(body); string(answer) != hex.EncodeToString(want[:]) {
		return errDigest
	}
	return nil
}
